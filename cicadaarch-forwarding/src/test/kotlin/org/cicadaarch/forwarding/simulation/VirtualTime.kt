package org.cicadaarch.forwarding.simulation

import java.util.PriorityQueue
import kotlin.time.Duration
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.model.Timestamp

/** Runs scheduled actions in the order of their time, without waiting. */
internal class VirtualTime : TaskScheduler {
    private val actions = PriorityQueue(compareBy<Action>({ it.at }, { it.number }))
    private var nextNumber = 0L

    var now = Timestamp(0)
        private set

    override fun now(): Timestamp = now

    override fun execute(task: () -> Unit) = at(now, task)

    override fun schedule(delay: Duration, task: () -> Unit): () -> Unit {
        var isCancelled = false
        after(delay) { if (!isCancelled) task() }
        return { isCancelled = true }
    }

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    /** Runs [action] at [time], or at once if that time is over. */
    fun at(time: Timestamp, action: () -> Unit) {
        nextNumber += 1
        actions += Action(maxOf(time, now), nextNumber, action)
    }

    /** Runs all actions that are due before [end]. */
    fun runUntil(end: Timestamp) {
        while (actions.isNotEmpty() && actions.peek().at < end) {
            val next = actions.remove()
            now = next.at
            next.run()
        }
        now = end
    }

    private class Action(val at: Timestamp, val number: Long, val run: () -> Unit)
}
