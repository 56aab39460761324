package org.cicadaarch.dispatch.admission

import kotlin.time.Duration
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchState
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
        val service = services.getOrPut(request.service) { ServiceOrder(state.admission.of(request.service)) }
        val objectiveEnd = open.arrivedAt + request.route.latencyObjective
        val isLate = now + responseTime(request) > objectiveEnd
        return QueueRank(
            isStarved = service.isStarved(request),
            priority = request.priority,
            turnsAhead = service.turnsAhead(request.account ?: AdmissionState.ANONYMOUS),
            isLate = isLate,
            dueAt = if (isLate) open.deadline else open.queuedFrom + request.route.latencyObjective,
        )
    }

    /** [requests] in their order; of equal ones, the one that arrived first. */
    fun sorted(requests: Collection<OpenRequest>): List<OpenRequest> = requests
        .map { it to rank(it) }
        .sortedWith(compareBy<Pair<OpenRequest, QueueRank>> { it.second }.thenBy { it.first.request.id.value })
        .map { it.first }

    /** How long a target needs for the response. The first part of a stream comes early, so a stream counts as none. */
    private fun responseTime(request: DispatchRequest): Duration =
        if (request.route.isStream) Duration.ZERO else state.observations.knownRunTime(request.route) ?: Duration.ZERO

    /** The order of the requests for one service, which has [record]. */
    private inner class ServiceOrder(private val record: ServiceQueueRecord) {
        private val weights = record.usualShares.weights(now)
        private val starvedBelow = record.meanServed(now) * STARVED_RATIO
        private val turns = HashMap<AccountId, Int>()
        private val starvedKinds = HashMap<RequestKind, Boolean>()

        fun isStarved(request: DispatchRequest): Boolean {
            val kind = RequestKind.of(request)
            val known = record.kinds[kind] ?: return false
            val isKindStarved = starvedKinds.getOrPut(kind) { known.served.at(now) < starvedBelow }
            return isKindStarved || isStarvedAsLarge(request, known)
        }

        fun turnsAhead(account: AccountId): Int = turns.getOrPut(account) {
            if (record.meanCost == 0.0) return@getOrPut 0
            val lead = record.fairShares.startTag(account) - record.fairShares.virtualTime
            val leadInRequests = lead / record.meanCost
            (leadInRequests / maxOf(MIN_TURN, BURST / weights.of(account))).toInt()
        }

        private fun isStarvedAsLarge(request: DispatchRequest, kind: KindRecord): Boolean =
            kind.isLarge(RequestSize.of(request)) &&
                kind.servedLarge.at(now) < kind.served.at(now) * STARVED_LARGE_RATIO
    }

    private companion object {
        /** No kind should be served less than a quarter of the mean; not all that is sent is answered in time. */
        const val STARVED_RATIO = 0.4

        /** The large requests of a kind should be served at least half as often as the kind. */
        const val STARVED_LARGE_RATIO = 0.7

        /** Requests of mean cost that an account may be ahead of its share, as they seldom come one by one. */
        const val BURST = 6.0

        /** What an account of any weight may be ahead: so many requests of mean cost and weight. */
        const val MIN_TURN = 1.0
    }
}
