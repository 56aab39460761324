package org.cicadaarch.orders

import java.util.PriorityQueue

/** Runs actions in virtual time, in milliseconds. Actions that are due at the same time run as they were scheduled. */
internal class VirtualTime {
    private data class ScheduledAction(val at: Long, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<ScheduledAction>({ it.at }, { it.order }))
    private var scheduledCount = 0L

    var now = 0L
        private set

    fun after(milliseconds: Long, action: () -> Unit) {
        queue.add(ScheduledAction(now + milliseconds, scheduledCount++, action))
    }

    fun advance(milliseconds: Long) {
        val end = now + milliseconds
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.poll()
            now = next.at
            next.action()
        }
        now = end
    }
}
