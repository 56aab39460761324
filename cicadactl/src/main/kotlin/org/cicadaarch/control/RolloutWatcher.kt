package org.cicadaarch.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Waits for at most [timeout] until a revision is in force on the routers.
 */
internal class RolloutWatcher(private val operators: OperatorsClient, private val timeout: Duration) {
    /** Waits until [revision] is in force on all routers. Returns the last status, null if no router responded. */
    fun await(revision: Long): FleetStatus? {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        var last: FleetStatus? = null
        while (true) {
            last = operators.status().getOrNull() ?: last
            val isDone = last != null && last.routersBehind(revision).isEmpty()
            if (isDone || deadline.hasPassedNow()) return last
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    private companion object {
        val POLL_INTERVAL = 300.milliseconds
    }
}
