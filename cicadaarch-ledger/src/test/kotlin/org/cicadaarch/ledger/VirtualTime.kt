package org.cicadaarch.ledger

import java.util.PriorityQueue

/** Runs scheduled actions in virtual milliseconds; actions due at the same time run in the order of scheduling. */
internal class VirtualTime {
    private data class Entry(val at: Long, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Entry>({ it.at }, { it.order }))
    private var scheduled = 0L

    var now = 0L
        private set

    fun after(milliseconds: Long, action: () -> Unit) {
        queue.add(Entry(now + milliseconds, scheduled++, action))
    }

    fun advance(milliseconds: Long) {
        val end = now + milliseconds
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val entry = queue.poll()
            now = entry.at
            entry.action()
        }
        now = end
    }
}
