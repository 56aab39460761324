package org.cicadaarch.dispatch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.dispatch.request.OpenRequest.Phase.InFlight
import org.cicadaarch.dispatch.request.RequestFailure
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * What the order of queued requests and their refusal follow from.
 */
data class AdmissionState(
    private val records: PersistentMap<ServiceName, ServiceQueueRecord> = persistentMapOf(),
    val refused: RefusedRequests = RefusedRequests(),
) {
    /** The record of [service]. */
    fun of(service: ServiceName): ServiceQueueRecord = records[service] ?: ServiceQueueRecord()

    /** A copy with the record of [service] after [change]. */
    fun with(service: ServiceName, change: (ServiceQueueRecord) -> ServiceQueueRecord): AdmissionState =
        copy(records = records.put(service, change(of(service))))

    /** Since when [request], which arrives at [now], counts as queued: if it returns as told, since it was refused. */
    fun queuedFrom(request: DispatchRequest, now: Timestamp): Timestamp =
        refused.of(request, now)?.takeIf { it.isDue(now) }?.arrivedAt ?: now

    /** A copy that counts [request], which arrived at [now], unless it was counted before it was refused. */
    fun withArrival(request: DispatchRequest, now: Timestamp): AdmissionState {
        val earlier = refused.of(request, now)
        return when {
            earlier == null -> with(request.service) { record ->
                val counted = record.withKind(RequestKind.of(request)) { it.withArrival(RequestSize.of(request), now) }
                request.work?.let { counted.withPrompt(it.promptTokens) } ?: counted
            }

            earlier.isDue(now) -> copy(refused = refused.without(request))

            else -> this
        }
    }

    /** A copy that records [failure] of [open] if it was refused at [now] for want of capacity, without any attempt. */
    fun withFailure(open: OpenRequest, failure: RequestFailure, now: Timestamp): AdmissionState {
        val request = open.request
        if (failure !is RequestFailure.NotRun || !failure.isForCapacity || open.attempts > 0) return this
        if (refused.of(request, now) != null) return this
        val refusal = RefusedRequest(
            service = request.service,
            priority = request.priority,
            arrivedAt = open.arrivedAt,
            returnAt = now + failure.retryAfter,
            cost = of(request.service).meanCost,
        )
        return copy(refused = refused.with(request, refusal))
    }

    /** A copy that counts [result] of an [attempt] for [service] that ended at [now]. */
    fun withResult(service: ServiceName, attempt: InFlight, result: AttemptResult, now: Timestamp): AdmissionState =
        if (result is AttemptResult.Answered) {
            with(service) { it.withResponse(slotTime = now - attempt.sentAt, now) }
        } else {
            this
        }

    companion object {
        /** The account of requests on routes that need no key. */
        val ANONYMOUS = AccountId("")
    }
}
