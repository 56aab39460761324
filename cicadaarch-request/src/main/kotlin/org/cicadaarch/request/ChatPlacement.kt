package org.cicadaarch.request

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.placement.RendezvousHash

/**
 * The order in which a chat's targets are asked, best first, so that a returning chat finds its earlier work.
 */
object ChatPlacement {
    /** The order for [chat] of [account]; without a chat [fallbackKey] spreads the requests. */
    fun order(
        account: AccountId,
        service: ServiceName,
        chat: ChatId?,
        fleet: FleetDocument,
        fallbackKey: String = "",
    ): List<TargetId> = RendezvousHash.rank(
        key = chat?.let { "$account/$it" } ?: fallbackKey,
        members = fleet.targetsOf(service).filterValues { !it.leaving }.entries,
        name = { it.key.value },
        weight = { it.value.capacity.toDouble() },
    ).map { it.key }
}
