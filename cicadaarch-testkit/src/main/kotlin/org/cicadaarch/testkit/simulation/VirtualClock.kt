package org.cicadaarch.testkit.simulation

import java.util.PriorityQueue
import kotlin.time.Duration
import org.cicadaarch.model.Timestamp

/**
 * Virtual time: actions run in the order of their times, those of one time in the order of their scheduling.
 */
class VirtualClock {
    private val queue = PriorityQueue<ScheduledAction>()
    private var scheduled = 0L

    /** The time of the action that runs, or of the last one that ran. */
    var now: Timestamp = Timestamp(0)
        private set

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        require(!delay.isNegative()) { "delay must not be negative, was $delay" }
        scheduled++
        queue += ScheduledAction(now + delay, scheduled, action)
    }

    /** Runs everything that is due within [duration]. */
    fun advance(duration: Duration) {
        val end = now + duration
        while (queue.peek()?.let { it.time <= end } == true) {
            val next = queue.poll()
            now = next.time
            next.action()
        }
        now = end
    }

    private class ScheduledAction(val time: Timestamp, val number: Long, val action: () -> Unit) :
        Comparable<ScheduledAction> {
        override fun compareTo(other: ScheduledAction): Int = compareValuesBy(this, other, { it.time }, { it.number })
    }
}
