package org.cicadaarch.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Waits until the routers report a revision.
 */
internal class RolloutWatcher(private val operators: OperatorsClient, private val patience: Duration) {
    /** The last status seen: with [revision] on all known routers, or after the patience; null without any answer. */
    fun await(revision: Long): FleetStatus? {
        val deadline = TimeSource.Monotonic.markNow() + patience
        var last: FleetStatus? = null
        while (true) {
            last = operators.status().getOrNull() ?: last
            val isDone = last != null && last.behind(revision).isEmpty()
            if (isDone || deadline.hasPassedNow()) return last
            Thread.sleep(POLL_PERIOD.inWholeMilliseconds)
        }
    }

    private companion object {
        val POLL_PERIOD = 300.milliseconds
    }
}
