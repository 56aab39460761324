package org.cicadaarch.dispatch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * What the order of queued requests and their refusal follow from.
 */
data class AdmissionState(private val records: PersistentMap<ServiceName, ServiceQueueRecord> = persistentMapOf()) {
    /** The record of [service]. */
    fun of(service: ServiceName): ServiceQueueRecord = records[service] ?: ServiceQueueRecord()

    /** A copy with the record of [service] after [change]. */
    fun with(service: ServiceName, change: (ServiceQueueRecord) -> ServiceQueueRecord): AdmissionState =
        copy(records = records.put(service, change(of(service))))

    /** A copy that counts [request], which arrived at [now]. */
    fun withArrival(request: DispatchRequest, now: Timestamp): AdmissionState = with(request.service) { record ->
        record.withKind(RequestKind.of(request)) { it.withArrival(RequestSize.of(request), now) }
    }

    /** A copy that counts [result] of an attempt for [service] that ended at [now]. */
    fun withResult(service: ServiceName, result: AttemptResult, now: Timestamp): AdmissionState =
        if (result is AttemptResult.Answered) {
            with(service) { it.copy(responses = it.responses.with(now)) }
        } else {
            this
        }

    companion object {
        /** The account of requests on routes that need no key. */
        val ANONYMOUS = AccountId("")
    }
}
