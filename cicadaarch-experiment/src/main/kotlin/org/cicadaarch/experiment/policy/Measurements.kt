package org.cicadaarch.experiment.policy

import kotlin.math.ceil
import org.HdrHistogram.Histogram

/**
 * Collects the figures of one run, from [Scenario.measuredFrom] on.
 */
internal class Measurements(private val scenario: Scenario) {
    private val requestSkew = Histogram(SIGNIFICANT_DIGITS)
    private val tokenSkew = Histogram(SIGNIFICANT_DIGITS)
    private val quietWait = Histogram(SIGNIFICANT_DIGITS)
    private val surgingWait = Histogram(SIGNIFICANT_DIGITS)
    private val busyShare = Histogram(SIGNIFICANT_DIGITS)
    private val firstTokenTime = Histogram(SIGNIFICANT_DIGITS)
    private var reused = 0L
    private var reusable = 0L
    private var offered = 0
    private var late = 0
    private var quietRefused = 0
    private var surgingRefused = 0
    private var falselyRefused = 0
    private var earlyRefused = 0
    private var overBoundSamples = 0
    private var samples = 0
    private var grants = 0
    private var grantsOver = 0
    private var highestOver = 0.0

    fun offered(turn: Turn) = whenMeasured(turn) { offered++ }

    fun started(turn: Turn, reusedTokens: Int, now: Long) = whenMeasured(turn) {
        reused += reusedTokens
        reusable += turn.prefixTokens
        val wait = if (scenario.accounts[turn.account].quiet) quietWait else surgingWait
        wait.recordValue(now - turn.arrivedAt)
    }

    fun firstToken(turn: Turn, now: Long) = whenMeasured(turn) {
        firstTokenTime.recordValue(now - turn.arrivedAt)
        if (now - turn.arrivedAt > scenario.timeAllowed) late++
    }

    fun refused(turn: Turn, falsely: Boolean, early: Boolean) = whenMeasured(turn) {
        if (scenario.accounts[turn.account].quiet) quietRefused++ else surgingRefused++
        if (falsely) falselyRefused++
        if (early) earlyRefused++
    }

    /** Compares a grant on [engine] with the bound by the true total of [engines] at that moment. */
    fun granted(engine: EngineModel, engines: Collection<EngineModel>, now: Long) {
        if (now < scenario.measuredFrom) return
        grants++
        if (engine.inFlight + 1 > boundOf(engines.sumOf { it.inFlight }, engines.size)) grantsOver++
    }

    /** Samples the load of the [engines] that are up while [waiting] turns wait. */
    fun sample(engines: List<EngineModel>, waiting: Int) {
        val slots = engines.sumOf { it.slots }
        val running = engines.sumOf { it.running }
        if (waiting + engines.sumOf { it.queued } > 0) busyShare.recordValue(running * PERCENT * PERCENT / slots)
        val requests = engines.map { it.inFlight.toDouble() }
        if (requests.average() < 1.0) return
        recordSkew(requestSkew, requests)
        recordSkew(tokenSkew, engines.map { it.inFlightTokens.toDouble() })
        samples++
        val bound = boundOf(requests.sum().toInt(), engines.size)
        if (requests.max() > bound) overBoundSamples++
        highestOver = maxOf(highestOver, requests.max() / bound)
    }

    fun row(policy: String, bytesPerRouterSecond: Double): String = listOf(
        policy.padEnd(POLICY_WIDTH),
        percent(reused.toDouble() / reusable.coerceAtLeast(1)),
        ratio(requestSkew.mean / PERCENT),
        ratio(requestSkew.getValueAtPercentile(99.0) / 100.0),
        ratio(tokenSkew.mean / PERCENT),
        ratio(tokenSkew.getValueAtPercentile(99.0) / 100.0),
        percent(overBoundSamples.toDouble() / samples.coerceAtLeast(1)),
        ratio(highestOver),
        percent(grantsOver.toDouble() / grants.coerceAtLeast(1)),
        offered.toString().padStart(COLUMN),
        quietRefused.toString().padStart(COLUMN),
        surgingRefused.toString().padStart(COLUMN),
        falselyRefused.toString().padStart(COLUMN),
        earlyRefused.toString().padStart(COLUMN),
        late.toString().padStart(COLUMN),
        milliseconds(firstTokenTime.getValueAtPercentile(95.0)),
        milliseconds(quietWait.getValueAtPercentile(99.0)),
        milliseconds(surgingWait.getValueAtPercentile(99.0)),
        if (busyShare.totalCount == 0L) "-".padStart(COLUMN) else percent(busyShare.mean / (PERCENT * PERCENT)),
        bytesPerRouterSecond.toLong().toString().padStart(COLUMN),
    ).joinToString("")

    private fun boundOf(total: Int, engines: Int): Double = ceil(scenario.loadMultiple * (total + 1) / engines)

    private fun recordSkew(histogram: Histogram, loads: List<Double>) =
        histogram.recordValue((loads.max() / loads.average() * PERCENT).toLong())

    private fun whenMeasured(turn: Turn, action: () -> Unit) {
        if (turn.arrivedAt >= scenario.measuredFrom) action()
    }

    private fun percent(share: Double) = "%.1f%%".format(share * PERCENT).padStart(COLUMN)

    private fun ratio(value: Double) = "%.2f".format(value).padStart(COLUMN)

    private fun milliseconds(value: Long) = (value / MICROSECONDS_PER_MILLISECOND).toString().padStart(COLUMN)

    companion object {
        private const val SIGNIFICANT_DIGITS = 3
        private const val PERCENT = 100L
        private const val POLICY_WIDTH = 26
        private const val COLUMN = 9

        /** The heads of the columns of [row]. */
        val HEAD: String = "policy".padEnd(POLICY_WIDTH) + listOf(
            "reuse", "req.skew", "p99", "tok.skew", "p99", "over", "max.over", "g.over",
            "offered", "q.refus", "s.refus",

            "falsely", "early", "late", "ttft95ms", "q.w99ms", "s.w99ms", "busy", "B/s/rtr",
        ).joinToString("") { it.padStart(COLUMN) }
    }
}
