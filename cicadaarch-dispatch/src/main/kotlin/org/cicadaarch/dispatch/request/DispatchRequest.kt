package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import org.cicadaarch.dispatch.quarantine.RequestTrait
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ServiceName

/**
 * A request to be sent to a target of [service] as [route] allows, and to be completed within [timeAllowed] of its
 * arrival.
 *
 * [priority] 0 is the most urgent. [promptKey] identifies the part of the prompt that the request shares with others;
 * it is null if there is no prompt or the route has no prompt affinity. [traits] are those by which requests that crash
 * targets are recognized. [work] is null if the client does not state it; [sharedPromptTokens] of its prompt belong to
 * the prompt of [promptKey]. [account] is null if the route needs no key.
 */
data class DispatchRequest(
    val id: ExchangeId,
    val route: Route,
    val service: ServiceName,
    val priority: Int,
    val timeAllowed: Duration,
    val promptKey: String?,
    val traits: Set<RequestTrait> = emptySet(),
    val work: RequestWork? = null,
    val account: AccountId? = null,
    val sharedPromptTokens: Int = 0,
)
