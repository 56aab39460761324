package org.cicadaarch.forwarding

import kotlin.time.Duration
import org.cicadaarch.model.Timestamp

/**
 * A clock, and the thread that runs all tasks of the classes that use it.
 */
internal interface TaskScheduler {
    /** The current time of the monotonic clock. */
    fun now(): Timestamp

    /** Runs [task] as soon as possible. May be called on any thread. */
    fun execute(task: () -> Unit)

    /** Runs [task] after [delay]. Returns a function that cancels it. */
    fun schedule(delay: Duration, task: () -> Unit): () -> Unit
}
