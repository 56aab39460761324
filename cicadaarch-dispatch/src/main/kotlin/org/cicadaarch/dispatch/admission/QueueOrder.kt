package org.cicadaarch.dispatch.admission

import kotlin.time.Duration
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * The order in which the queued requests of [state] are sent at [now].
 *
 * The accounts share the slots in proportion to what was usually served of them. Within what an account may be ahead of
 * its share, time decides: requests that can still be in time go by the end of their latency objective, the others by
 * their deadline. A kind of requests, or the large ones of a kind, that is served far less than the others goes first.
 */
internal class QueueOrder(private val state: DispatchState, private val now: Timestamp) {
    private val services = HashMap<ServiceName, ServiceOrder>()

    /** The rank of [open]. */
    fun rank(open: OpenRequest): QueueRank {
        val request = open.request
        val service = serviceOf(open)
        val objectiveEnd = open.queuedFrom + request.route.latencyObjective
        val isLate = now + responseTime(request) > objectiveEnd
        return QueueRank(
            isStarved = service.isStarved(request),
            priority = request.priority,
            turnsAhead = service.turnsAhead(request.accountOrAnonymous),
            isLate = isLate,
            dueAt = if (isLate) open.deadline else objectiveEnd,
        )
    }

    /**
     * The rank of each of [requests] once those of its account and its kind that go before it have been sent, each with
     * the given [cost] in seconds.
     */
    fun projectedRanks(requests: Collection<OpenRequest>, cost: (OpenRequest) -> Double): Map<ExchangeId, QueueRank> {
        val sentWork = HashMap<AccountId, Double>()
        val sentOfKind = HashMap<RequestKind, Int>()
        return sorted(requests).associate { open ->
            val request = open.request
            val service = serviceOf(open)
            val account = request.accountOrAnonymous
            val rank = rank(open).copy(
                isStarved = service.isStarved(request, sentOfKind[RequestKind.of(request)] ?: 0),
                turnsAhead = service.turnsAhead(account, sentWork[account] ?: 0.0),
            )
            sentWork.merge(account, cost(open), Double::plus)
            sentOfKind.merge(RequestKind.of(request), 1, Int::plus)
            request.id to rank
        }
    }

    /** [requests] in their order; of equal ones, the one that arrived first. */
    fun sorted(requests: Collection<OpenRequest>): List<OpenRequest> = requests
        .map { it to rank(it) }
        .sortedWith(compareBy<Pair<OpenRequest, QueueRank>> { it.second }.thenBy { it.first.request.id.value })
        .map { it.first }

    private fun serviceOf(open: OpenRequest): ServiceOrder =
        services.getOrPut(open.request.service) { ServiceOrder(state.admission.of(open.request.service)) }

    private val DispatchRequest.accountOrAnonymous: AccountId get() = account ?: AdmissionState.ANONYMOUS

    /** How long a target needs for the response. The first part of a stream comes early, so a stream counts as none. */
    private fun responseTime(request: DispatchRequest): Duration =
        if (request.route.isStream) Duration.ZERO else state.observations.knownRunTime(request.route) ?: Duration.ZERO

    /** The order of the requests for one service, which has [record]. */
    private inner class ServiceOrder(private val record: ServiceQueueRecord) {
        private val weights = record.usualShares.weights(now)
        private val starvedBelow = record.meanServed(now) * STARVED_RATIO
        private val missingOfKinds = HashMap<RequestKind, Double>()

        /** Whether the kind of [request] is served too little even after [sent] more of it were sent. */
        fun isStarved(request: DispatchRequest, sent: Int = 0): Boolean {
            val kind = RequestKind.of(request)
            val known = record.kinds[kind] ?: return false
            val missing = missingOfKinds.getOrPut(kind) { known.served.missing(starvedBelow, now) }
            return missing > sent || isStarvedAsLarge(request, known)
        }

        /** How many turns [account] is ahead of its share after [sentWork] more seconds of its work were sent. */
        fun turnsAhead(account: AccountId, sentWork: Double = 0.0): Int {
            if (record.meanCost == 0.0) return 0
            val weight = weights.of(account)
            val start = record.fairShares.startTag(account) + sentWork / weight
            val leadInRequests = (start - record.fairShares.virtualTime) / record.meanCost
            return (leadInRequests / maxOf(MIN_TURN, BURST / weight)).toInt()
        }

        private fun isStarvedAsLarge(request: DispatchRequest, kind: KindRecord): Boolean =
            kind.isLarge(RequestSize.of(request)) &&
                kind.servedLarge.at(now) < kind.served.at(now) * STARVED_LARGE_RATIO
    }

    private companion object {
        /** Above the required quarter of the mean, as not all that is sent is answered in time. */
        const val STARVED_RATIO = 0.35

        /** Above the required half, for the same reason. */
        const val STARVED_LARGE_RATIO = 0.7

        /** Requests of mean cost that an account may be ahead of its share, as they seldom come one by one. */
        const val BURST = 6.0

        /** Lower bound of a turn, in requests of mean cost and weight 1. */
        const val MIN_TURN = 1.0
    }
}
