package org.cicadaarch.dispatch.admission

import kotlin.time.DurationUnit
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.RequestObservations

/**
 * How long requests keep a slot of a target busy, by the usual run time of their routes and by their sizes.
 */
internal class RequestCosts(private val admission: AdmissionState, private val observations: RequestObservations) {
    /** The cost of [request] in seconds of one slot. */
    fun of(request: DispatchRequest): Double {
        val usual = observations.usualRunTime(request.route).toDouble(DurationUnit.SECONDS)
        val meanSize = admission.of(request.service).kinds[RequestKind.of(request)]?.meanSize ?: 0.0
        val size = RequestSize.of(request)
        return if (size == 0.0 || meanSize == 0.0) usual else usual * (size / meanSize).coerceIn(RELATIVE_SIZES)
    }

    private companion object {
        /** The stated output is an upper limit, so a size is only a rough measure of the run time. */
        val RELATIVE_SIZES = 0.25..4.0
    }
}
