package org.cicadaarch.forwarding.simulation

import kotlin.time.Duration
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.dispatch.target.TargetEntry

/** A target that runs as many requests at once as it has slots, queues the others and reports both numbers. */
internal class SimulatedTarget(val entry: TargetEntry, private val time: VirtualTime) {
    private val waiting = ArrayDeque<Run>()
    private var running = 0

    /** The factor by which requests that start now take longer than they should. */
    var slowness = 1.0

    /** With more requests than this, those that start take longer by [slowness]. */
    var slowAbove = 0

    /** Requests that run or wait. */
    val held: Int get() = running + waiting.size

    /** Runs a request that takes [runTime]. The head of its response is sent after [headTime] of that. */
    fun submit(runTime: Duration, headTime: Duration, onHead: (LoadReport) -> Unit, onEnd: () -> Unit) {
        waiting.addLast(Run(runTime, headTime, onHead, onEnd))
        startWaiting()
    }

    private fun startWaiting() {
        while (running < entry.slots && waiting.isNotEmpty()) start(waiting.removeFirst())
    }

    private fun start(run: Run) {
        running += 1
        val slowness = if (running > slowAbove) slowness else 1.0
        time.after(run.headTime * slowness) { run.onHead(LoadReport(running, waiting.size)) }
        time.after(run.runTime * slowness) {
            running -= 1
            run.onEnd()
            startWaiting()
        }
    }

    private class Run(
        val runTime: Duration,
        val headTime: Duration,
        val onHead: (LoadReport) -> Unit,
        val onEnd: () -> Unit,
    )
}
