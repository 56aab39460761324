package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import org.cicadaarch.dispatch.observation.FleetDemands
import org.cicadaarch.dispatch.observation.LocalObservations
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.observation.PromptId
import org.cicadaarch.dispatch.observation.RunTimes
import org.cicadaarch.dispatch.request.OpenRequest.Phase.InFlight
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.model.Timestamp

/**
 * What this router observes of requests: what is [unreported] to others so far, how long they run, and the demand of
 * the fleet by the word of others.
 */
data class RequestObservations(
    val unreported: LocalObservations = LocalObservations(),
    private val runTimes: RunTimes = RunTimes(),
    private val fleetDemands: FleetDemands = FleetDemands(),
) {
    /** The number of requests that the prompt of [request] keeps running at once; 0 if it is small or not known. */
    fun demand(request: DispatchRequest, now: Timestamp): Double =
        promptOf(request)?.let { fleetDemands.of(it, now) } ?: 0.0

    /** The usual time that targets need for a request on [route], or null if none has ended yet. */
    fun knownRunTime(route: Route): Duration? = runTimes.known(route)

    /** How long [request] usually runs. */
    fun usualRunTime(request: DispatchRequest): Duration = runTimes.usual(request.route)

    /** A copy that counts an attempt for [request]. */
    fun withSent(request: DispatchRequest): RequestObservations {
        val prompt = promptOf(request) ?: return this
        return copy(unreported = unreported.withRequest(prompt, runTimes.usual(request.route)))
    }

    /** A copy that counts the run time of [attempt] for [request] if [result] is a response without a server error. */
    fun withResult(
        request: DispatchRequest,
        attempt: InFlight,
        result: AttemptResult,
        now: Timestamp,
    ): RequestObservations {
        val hasRun = result is AttemptResult.Answered && result.status < MIN_SERVER_ERROR
        return if (hasRun) copy(runTimes = runTimes.with(request.route, now - attempt.sentAt)) else this
    }

    /** A copy with the [summary] of the fleet's observations, as of [observedAt]. */
    fun withSummary(summary: ObservationSummary, observedAt: Timestamp): RequestObservations =
        copy(fleetDemands = FleetDemands(summary.demands, observedAt))

    private fun promptOf(request: DispatchRequest): PromptId? =
        request.promptKey?.let { PromptId.of(request.service, it) }

    private companion object {
        const val MIN_SERVER_ERROR = 500
    }
}
