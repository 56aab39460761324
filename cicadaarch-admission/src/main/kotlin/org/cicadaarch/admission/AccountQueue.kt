package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Priority

/**
 * The waiting requests of one client account, ordered by priority and, within a priority, by arrival.
 */
data class AccountQueue(private val fifos: PersistentMap<Priority, Fifo> = persistentMapOf(), val size: Int = 0) {
    /** The attempt to serve next, or null when none is waiting. */
    fun first(): AttemptId? = Priority.entries.firstNotNullOfOrNull { priority ->
        fifos[priority]?.let { it.attempts[it.head] }
    }

    /** The attempt that would be served last, or null when none is waiting. */
    fun last(): AttemptId? = Priority.entries.reversed().firstNotNullOfOrNull { fifos[it]?.last() }

    /** Appends [attempt] to the queue of its [priority]. */
    fun plus(attempt: AttemptId, priority: Priority): AccountQueue {
        val fifo = fifos[priority] ?: Fifo()
        return AccountQueue(fifos.put(priority, fifo.plus(attempt)), size + 1)
    }

    /** Removes [attempt], which must be in the queue of [priority]. */
    fun minus(attempt: AttemptId, priority: Priority): AccountQueue =
        AccountQueue(fifos.put(priority, fifos.getValue(priority).minus(attempt)), size - 1)

    /** The attempts of one priority, numbered in order of arrival; [head] is the lowest number still waiting. */
    data class Fifo(
        val attempts: PersistentMap<Long, AttemptId> = persistentMapOf(),
        val sequences: PersistentMap<AttemptId, Long> = persistentMapOf(),
        val head: Long = 0,
        val tail: Long = 0,
    ) {
        internal fun last(): AttemptId? = (tail - 1 downTo head).firstNotNullOfOrNull { sequence -> attempts[sequence] }

        internal fun plus(attempt: AttemptId): Fifo = Fifo(
            attempts = attempts.put(tail, attempt),
            sequences = sequences.put(attempt, tail),
            head = head,
            tail = tail + 1,
        )

        internal fun minus(attempt: AttemptId): Fifo {
            val remaining = attempts.remove(sequences.getValue(attempt))
            var newHead = head
            while (newHead < tail && newHead !in remaining) newHead++
            return Fifo(remaining, sequences.remove(attempt), newHead, tail)
        }
    }
}
