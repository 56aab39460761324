package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Priority

/**
 * The waiting requests of one client account, in the order of priority and then of arrival.
 */
data class AccountQueue(private val lines: PersistentMap<Priority, Line> = persistentMapOf(), val size: Int = 0) {
    /** The attempt that is served next; null when none waits. */
    fun first(): AttemptId? = Priority.entries.firstNotNullOfOrNull { priority ->
        lines[priority]?.let { it.attempts[it.head] }
    }

    /** The attempt that is served last; null when none waits. */
    fun last(): AttemptId? = Priority.entries.reversed().firstNotNullOfOrNull { lines[it]?.last() }

    /** Adds [attempt] behind its priority's others. */
    fun plus(attempt: AttemptId, priority: Priority): AccountQueue {
        val line = lines[priority] ?: Line()
        return AccountQueue(lines.put(priority, line.plus(attempt)), size + 1)
    }

    /** Removes [attempt], which must be waiting. */
    fun minus(attempt: AttemptId, priority: Priority): AccountQueue =
        AccountQueue(lines.put(priority, lines.getValue(priority).minus(attempt)), size - 1)

    /** The attempts of one priority by their number of arrival; [head] is the lowest number. */
    data class Line(
        val attempts: PersistentMap<Long, AttemptId> = persistentMapOf(),
        val numbers: PersistentMap<AttemptId, Long> = persistentMapOf(),
        val head: Long = 0,
        val tail: Long = 0,
    ) {
        internal fun last(): AttemptId? = (tail - 1 downTo head).firstNotNullOfOrNull { number -> attempts[number] }

        internal fun plus(attempt: AttemptId): Line = Line(
            attempts = attempts.put(tail, attempt),
            numbers = numbers.put(attempt, tail),
            head = head,
            tail = tail + 1,
        )

        internal fun minus(attempt: AttemptId): Line {
            val left = attempts.remove(numbers.getValue(attempt))
            var first = head
            while (first < tail && first !in left) first++
            return Line(left, numbers.remove(attempt), first, tail)
        }
    }
}
