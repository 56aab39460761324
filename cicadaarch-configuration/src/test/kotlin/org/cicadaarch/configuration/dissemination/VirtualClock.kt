package org.cicadaarch.configuration.dissemination

import java.util.PriorityQueue
import org.cicadaarch.model.Timestamp

/**
 * A virtual clock in milliseconds that runs scheduled actions in time order.
 */
class VirtualClock {
    private val queue = PriorityQueue(compareBy<Entry>({ it.at }, { it.number }))
    private var entries = 0L
    var milliseconds = 0L
        private set
    val now: Timestamp get() = Timestamp(milliseconds)

    fun after(delay: Long, action: () -> Unit) {
        queue += Entry(milliseconds + delay, entries++, action)
    }

    fun advance(duration: Long) {
        val end = milliseconds + duration
        while (true) {
            val next = queue.peek()?.takeIf { it.at <= end } ?: break
            queue.remove()
            milliseconds = next.at
            next.action()
        }
        milliseconds = end
    }

    private class Entry(val at: Long, val number: Long, val action: () -> Unit)
}
