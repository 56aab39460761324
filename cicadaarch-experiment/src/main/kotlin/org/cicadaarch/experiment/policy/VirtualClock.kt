package org.cicadaarch.experiment.policy

import java.util.PriorityQueue
import org.cicadaarch.model.Timestamp

/**
 * Runs scheduled actions in the order of virtual time, in microseconds; equal times run in the order of scheduling.
 */
internal class VirtualClock {
    private val actions = PriorityQueue<ScheduledAction>()
    private var sequence = 0L

    /** The present virtual time in microseconds. */
    var now = 0L
        private set

    /** The present virtual time as reducers take it. */
    val timestamp: Timestamp get() = Timestamp(now / MICROSECONDS_PER_MILLISECOND)

    fun schedule(at: Long, action: () -> Unit) {
        actions += ScheduledAction(maxOf(at, now), sequence++, action)
    }

    fun every(period: Long, until: Long, action: () -> Unit) {
        if (now + period > until) return
        schedule(now + period) {
            action()
            every(period, until, action)
        }
    }

    fun runUntil(end: Long) {
        while (actions.isNotEmpty() && actions.peek().at <= end) {
            val next = actions.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    private class ScheduledAction(val at: Long, val sequence: Long, val action: () -> Unit) :
        Comparable<ScheduledAction> {
        override fun compareTo(other: ScheduledAction): Int =
            compareValuesBy(this, other, ScheduledAction::at, ScheduledAction::sequence)
    }
}

internal const val MICROSECONDS_PER_MILLISECOND = 1_000L
internal const val MICROSECONDS_PER_SECOND = 1_000_000L
