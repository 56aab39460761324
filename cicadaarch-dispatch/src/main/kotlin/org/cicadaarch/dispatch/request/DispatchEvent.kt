package org.cicadaarch.dispatch.request

import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.quarantine.QuarantineRule
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.dispatch.target.TargetNotice
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * An input to the dispatch of requests, handled by [DispatchReducer]. The attempts of a request are numbered from 1.
 */
sealed class DispatchEvent {
    /** A complete request was read from a client. */
    data class RequestReceived(val request: DispatchRequest) : DispatchEvent()

    /** The first part of the response was sent to the client. */
    data class ResponseStarted(val id: ExchangeId, val attempt: Int) : DispatchEvent()

    /** Data of the response arrived from the target. */
    data class DataReceived(val id: ExchangeId, val attempt: Int) : DispatchEvent()

    /** An attempt ended with [result]. */
    data class AttemptEnded(val id: ExchangeId, val attempt: Int, val result: AttemptResult) : DispatchEvent()

    /** The client closed its connection. */
    data class ClientDisconnected(val id: ExchangeId) : DispatchEvent()

    /** A response of [target] carried a load report. */
    data class LoadReported(val target: TargetId, val load: LoadReport) : DispatchEvent()

    /** The target with [entry] gave [notice] in a response. */
    data class TargetNoticeReceived(val entry: TargetEntry, val notice: TargetNotice) : DispatchEvent()

    /** What this router observed was reported to others. */
    data object ObservationsReported : DispatchEvent()

    /** Other routers told what the fleet observes. */
    data class FleetObserved(val summary: ObservationSummary) : DispatchEvent()

    /** The registered targets are now [entries]. */
    data class TargetsChanged(val entries: List<TargetEntry>) : DispatchEvent()

    /** The limits of the services are now [services]. */
    data class ServicesChanged(val services: Map<ServiceName, ServiceLimits>) : DispatchEvent()

    /** Exactly [zones] are evacuated from now on. */
    data class ZonesEvacuated(val zones: Set<ZoneName>) : DispatchEvent()

    /** Requests are held back by [rules] from now on. */
    data class QuarantineChanged(val rules: List<QuarantineRule>) : DispatchEvent()

    /** The next request that [rule] holds back is to be sent nevertheless. */
    data class TrialGranted(val rule: QuarantineRule) : DispatchEvent()

    /** This router is about to exit, so that no request can go on. */
    data object Stopping : DispatchEvent()

    /** The time given by [DispatchReducer.nextTick] has come. */
    data object Tick : DispatchEvent()
}
