package org.cicadaarch.experiment.ledger

import java.util.PriorityQueue

/**
 * Runs actions in the order of their virtual time, in microseconds.
 */
internal class VirtualTime {
    private data class Entry(val at: Long, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Entry>({ it.at }, { it.order }))
    private var scheduled = 0L

    /** The present virtual time in microseconds. */
    var now = 0L
        private set

    /** Runs [action] after [microseconds]. */
    fun after(microseconds: Long, action: () -> Unit) {
        queue.add(Entry(now + microseconds, scheduled++, action))
    }

    /** Runs all actions up to [end]. */
    fun runUntil(end: Long) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val entry = queue.poll()
            now = entry.at
            entry.action()
        }
        now = end
    }
}
