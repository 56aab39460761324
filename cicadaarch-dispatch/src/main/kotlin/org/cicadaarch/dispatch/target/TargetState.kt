package org.cicadaarch.dispatch.target

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.observation.DatedLoad
import org.cicadaarch.dispatch.observation.SharedObservations
import org.cicadaarch.dispatch.warmup.WarmUp
import org.cicadaarch.model.Timestamp

/**
 * What this router knows of a target.
 *
 * [inFlight] counts the attempts of this router; [othersInFlight] is the number of requests from other routers at
 * [reportedAt], by the last load report that this router received, and [usualOthersInFlight] a moving average of that
 * number which also takes in what other routers report, as of [usualLoadAt]. While attempts are in flight,
 * [silentSince] is when the target last sent data. After a failure without a usable response the target is ejected
 * until [ejectedUntil]; [failures] counts these failures since the last success. [errorRate] is an exponential moving
 * average. [warmUp] is null if the target never warmed up as far as this router knows.
 */
data class TargetState(
    val entry: TargetEntry,
    val inFlight: Int = 0,
    val othersInFlight: Int = 0,
    val usualOthersInFlight: Double = 0.0,
    val reportedAt: Timestamp? = null,
    val usualLoadAt: Timestamp? = null,
    val silentSince: Timestamp? = null,
    val ejectedUntil: Timestamp? = null,
    val failures: Int = 0,
    val errorRate: Double = 0.0,
    val warmUp: WarmUp? = null,
) {
    /** The estimated number of requests at the target; those of other routers are weighted by the report's age. */
    fun load(now: Timestamp): Double = inFlight + estimatedOthersInFlight(now)

    /**
     * The number of requests that the target usually has now: [inFlight] and, of other routers, the average of its
     * reports. As that average ages, [typicalOthers], the one of a typical target, replaces it.
     */
    fun usualLoad(typicalOthers: Double, now: Timestamp): Double =
        inFlight + typicalOthers + (usualOthersInFlight - typicalOthers) * reportWeight(now)

    /** How far [usualOthersInFlight] still describes the target: from 1 if it is new to 0 if nothing is known. */
    fun reportWeight(now: Timestamp): Double {
        return remainingLife(usualLoadAt ?: return 0.0, now, USUAL_LOAD_LIFETIME_MILLIS)
    }

    /** Whether the target has sent nothing for [MAX_SILENCE] although attempts are in flight. */
    fun isUnresponsive(now: Timestamp): Boolean = inFlight > 0 && silentSince != null && now - silentSince > MAX_SILENCE

    /** Whether the target is ejected because of recent failures. */
    fun isEjected(now: Timestamp): Boolean = ejectedUntil != null && now < ejectedUntil

    /** The state after an attempt was sent at [now]. */
    fun withAttemptSent(now: Timestamp): TargetState =
        copy(inFlight = inFlight + 1, silentSince = if (inFlight == 0) now else silentSince)

    /** The state after the target sent data at [now]. */
    fun withDataReceived(now: Timestamp): TargetState = copy(silentSince = now)

    /** The state after the target sent a load [report] at [now]. */
    fun withLoadReport(report: LoadReport, now: Timestamp): TargetState = withUsualLoad(report.total.toDouble(), now)
        .copy(othersInFlight = (report.total - inFlight).coerceAtLeast(0), reportedAt = now)

    /**
     * The state after other routers told its [heavy] load, or else the [typical] load of its service as of
     * [observedAt], each null if not known. A typical load replaces only what is too old to be among the heavy loads.
     */
    fun withFleetLoad(heavy: DatedLoad?, typical: Double?, observedAt: Timestamp): TargetState = when {
        heavy != null && usualLoadAt.let { it == null || heavy.at > it } ->
            withUsualLoad(heavy.requests.toDouble(), heavy.at)

        heavy == null && typical != null &&
            usualLoadAt.let { it == null || observedAt - it > SharedObservations.LIFETIME } ->
            withUsualLoad(typical, observedAt)

        else -> this
    }

    private fun withUsualLoad(load: Double, at: Timestamp): TargetState {
        val others = (load - inFlight).coerceAtLeast(0.0)
        val weight = maxOf(MIN_REPORT_WEIGHT, 1.0 - reportWeight(at))
        return copy(
            usualOthersInFlight = usualOthersInFlight + (others - usualOthersInFlight) * weight,
            usualLoadAt = at,
        )
    }

    /** The state after an attempt ended, whatever its result. */
    fun withAttemptEnded(): TargetState = copy(inFlight = (inFlight - 1).coerceAtLeast(0))

    /** The state after the target responded without a server error. */
    fun withSuccess(): TargetState = copy(failures = 0, ejectedUntil = null, errorRate = errorRate * (1 - ERROR_WEIGHT))

    /** The state after the target responded with a server error. */
    fun withServerError(): TargetState = copy(errorRate = errorRate * (1 - ERROR_WEIGHT) + ERROR_WEIGHT)

    /** The state after an attempt failed without a usable response at [now]; ejects the target. */
    fun withFailure(now: Timestamp): TargetState = withServerError().copy(
        failures = failures + 1,
        ejectedUntil = now + (BASE_EJECTION_TIME * (1 shl failures.coerceAtMost(MAX_EJECTION_DOUBLINGS))),
    )

    private fun estimatedOthersInFlight(now: Timestamp): Double {
        return othersInFlight * remainingLife(reportedAt ?: return 0.0, now, LOAD_REPORT_LIFETIME_MILLIS)
    }

    /** Computed for every target at each selection, so without durations. */
    private fun remainingLife(since: Timestamp, now: Timestamp, lifetimeMillis: Double): Double =
        (1.0 - (now.milliseconds - since.milliseconds) / lifetimeMillis).coerceIn(0.0, 1.0)

    private companion object {
        val MAX_SILENCE = 600.milliseconds
        val BASE_EJECTION_TIME = 300.milliseconds
        const val MAX_EJECTION_DOUBLINGS = 4

        /** Weight of the latest result in the moving average [errorRate]. */
        const val ERROR_WEIGHT = 0.15

        /** Weight of the latest report in the moving average [usualOthersInFlight], if the one before it is new. */
        const val MIN_REPORT_WEIGHT = 0.5

        /** The same prompts go to a target for many times the duration of a request. */
        const val USUAL_LOAD_LIFETIME_MILLIS = 15_000.0

        /** Most requests of other routers that were in flight at a load report have ended after this time. */
        const val LOAD_REPORT_LIFETIME_MILLIS = 1_000.0
    }
}
