package org.cicadaarch.testkit.simulation

import kotlin.time.Duration
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId

/**
 * A target in virtual time: runs what it receives for [runTime], and records every run.
 *
 * A request whose fingerprint is among [crashing] crashes it: all runs end at once and it is down for [restartTime].
 */
class SimulatedTarget(
    private val clock: VirtualClock,
    private val runTime: Duration,
    private val restartTime: Duration,
    private val crashing: Set<Fingerprint>,
) {
    private val runs = mutableMapOf<AttemptId, Run>()

    /** Every attempt that was started, in order. */
    val started: MutableList<AttemptId> = mutableListOf()

    /** The most attempts that ran at once. */
    var peak: Int = 0
        private set

    /** How often it crashed. */
    var crashes: Int = 0
        private set

    /** Whether it takes connections. */
    var isUp: Boolean = true
        private set

    /** The attempts that run now. */
    val running: Int get() = runs.size

    /** How often [request] was started. */
    fun starts(request: RequestId): Int = started.count { it.request == request }

    /** Starts [attempt]; [onEnd] hears whether it completed, unless it is cancelled or the connection is silenced. */
    fun start(attempt: AttemptId, head: RequestHead, onEnd: (Boolean) -> Unit) {
        check(isUp) { "a target that is down takes no request" }
        started += attempt
        val run = Run(onEnd)
        runs[attempt] = run
        peak = maxOf(peak, runs.size)
        if (head.fingerprint in crashing) {
            clock.after(runTime / 2) { if (runs[attempt] === run) crash() }
        }
        clock.after(runTime) { if (runs[attempt] === run) finish(attempt, run) }
    }

    /** The connection of [attempt] was closed by the router. */
    fun cancel(attempt: AttemptId) {
        runs.remove(attempt)
    }

    /** Breaks all connections and goes down for a while. */
    fun crash() {
        crashes++
        isUp = false
        val broken = runs.values.toList()
        runs.clear()
        broken.filterNot { it.silent }.forEach { it.onEnd(false) }
        clock.after(restartTime) { isUp = true }
    }

    /** Open connections go silent for good; new ones work. */
    fun silence() {
        runs.values.forEach { it.silent = true }
    }

    private fun finish(attempt: AttemptId, run: Run) {
        runs.remove(attempt)
        if (!run.silent) run.onEnd(true)
    }

    private class Run(val onEnd: (Boolean) -> Unit, var silent: Boolean = false)
}
