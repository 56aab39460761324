package org.cicadaarch.dispatch.target

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * What this router believes of a target.
 *
 * [inFlight] counts this router's own attempts; [others] is what other routers had there at [reportedAt].
 * [awaitedSince] is when the target was last heard of while attempts were open. After a failure the target is passed
 * over until [avoidedUntil]; [failures] counts those without a success between. [errorRate] is a moving average.
 */
data class TargetState(
    val entry: TargetEntry,
    val inFlight: Int = 0,
    val others: Int = 0,
    val reportedAt: Timestamp? = null,
    val awaitedSince: Timestamp? = null,
    val avoidedUntil: Timestamp? = null,
    val failures: Int = 0,
    val errorRate: Double = 0.0,
) {
    /** Estimated requests at the target: the part of other routers counts less the older the report is. */
    fun load(now: Timestamp): Double = inFlight + othersNow(now)

    /** Whether nothing was heard of the target for long although attempts are open. */
    fun isSilent(now: Timestamp): Boolean = inFlight > 0 && awaitedSince != null && now - awaitedSince > LONGEST_SILENCE

    /** Whether the target failed lately. */
    fun isAvoided(now: Timestamp): Boolean = avoidedUntil != null && now < avoidedUntil

    /** The state after an attempt was sent at [now]. */
    fun sent(now: Timestamp): TargetState =
        copy(inFlight = inFlight + 1, awaitedSince = if (inFlight == 0) now else awaitedSince)

    /** The state after any byte came from the target at [now]. */
    fun heard(now: Timestamp): TargetState = copy(awaitedSince = now)

    /** The state after the target reported its load at [now]. */
    fun reported(report: LoadReport, now: Timestamp): TargetState =
        copy(others = (report.total - inFlight).coerceAtLeast(0), reportedAt = now)

    /** The state after one attempt ended. */
    fun released(): TargetState = copy(inFlight = (inFlight - 1).coerceAtLeast(0))

    /** The state after an attempt brought a good answer. */
    fun succeeded(): TargetState = copy(failures = 0, avoidedUntil = null, errorRate = errorRate * (1 - ERROR_WEIGHT))

    /** The state after the target answered an attempt with an error of its own. */
    fun erred(): TargetState = copy(errorRate = errorRate * (1 - ERROR_WEIGHT) + ERROR_WEIGHT)

    /** The state after an attempt failed without an answer at [now]. */
    fun failed(now: Timestamp): TargetState = erred().copy(
        failures = failures + 1,
        avoidedUntil = now + (FIRST_AVOIDANCE * (1 shl failures.coerceAtMost(MOST_DOUBLINGS))),
    )

    private fun othersNow(now: Timestamp): Double {
        val age = now - (reportedAt ?: return 0.0)
        return others * (1.0 - age / REPORT_LIFETIME).coerceIn(0.0, 1.0)
    }

    private companion object {
        val LONGEST_SILENCE = 600.milliseconds
        val FIRST_AVOIDANCE = 300.milliseconds
        const val MOST_DOUBLINGS = 4
        const val ERROR_WEIGHT = 0.15

        /** Requests of other routers at the time of a report have mostly ended after this time. */
        val REPORT_LIFETIME = 1.seconds
    }
}
