package org.cicadaarch.dispatch.admission

import kotlin.time.DurationUnit
import org.cicadaarch.dispatch.observation.RunTimes
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.RequestObservations

/**
 * How long requests keep a slot of a target busy, by the usual run time of their routes, or else of their services, and
 * by their sizes.
 */
internal class RequestCosts(private val admission: AdmissionState, private val observations: RequestObservations) {
    /** The cost of [request] in seconds of one slot. */
    fun of(request: DispatchRequest): Double {
        val record = admission.of(request.service)
        val usual = observations.knownRunTime(request.route)?.toDouble(DurationUnit.SECONDS)
            ?: record.meanCost.takeIf { it > 0.0 }
            ?: RunTimes.UNKNOWN.toDouble(DurationUnit.SECONDS)
        val meanSize = record.kinds[RequestKind.of(request)]?.meanSize ?: 0.0
        val size = RequestSize.of(request)
        return if (size == 0.0 || meanSize == 0.0) usual else usual * (size / meanSize).coerceIn(RELATIVE_SIZES)
    }

    private companion object {
        /** The stated output is an upper limit, so a size is only a rough measure of the run time. */
        val RELATIVE_SIZES = 0.25..4.0
    }
}
