package org.cicadaarch.dispatch.admission

import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.model.Timestamp

/**
 * Charges accounts for the requests that are sent.
 */
internal object QueueAccounting {
    /**
     * What is recorded after [request], the first attempt of which is sent at [now] in [state]. While requests wait,
     * the account is charged; else it takes nothing from others, and the work counts as its usual one.
     */
    fun sent(state: DispatchState, request: DispatchRequest, now: Timestamp): AdmissionState {
        val account = request.account ?: AdmissionState.ANONYMOUS
        val cost = RequestCosts(state.admission, state.observations).of(request)
        val waiting = waitingAccounts(state, request)
        return state.admission.with(request.service) { record ->
            val firstStart = waiting.minOfOrNull { record.fairShares.startTag(it) }
            val counted = if (firstStart == null) {
                record.copy(usualShares = record.usualShares.plus(account, cost, now))
            } else {
                val weight = record.usualShares.weights(now).of(account)
                record.copy(fairShares = record.fairShares.charge(account, cost, weight, firstStart))
            }
            counted
                .withKind(RequestKind.of(request)) { it.withSent(RequestSize.of(request), now) }
        }
    }

    /**
     * The accounts with a queued request for the service of [sent]; with any, also the account of [sent], since it
     * competes with them.
     */
    private fun waitingAccounts(state: DispatchState, sent: DispatchRequest) = state.queued
        .filter { it.request.service == sent.service && it.request.id != sent.id }
        .mapTo(HashSet()) { it.request.account ?: AdmissionState.ANONYMOUS }
        .let { if (it.isEmpty()) it else it + (sent.account ?: AdmissionState.ANONYMOUS) }
}
