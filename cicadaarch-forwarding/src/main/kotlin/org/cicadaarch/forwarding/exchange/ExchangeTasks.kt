package org.cicadaarch.forwarding.exchange

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Runs tasks of exchanges later on [eventLoop].
 */
internal class ExchangeTasks(private val eventLoop: EventLoop) {
    /**
     * Runs [task] after the event loop has handled everything that connections have received by now.
     *
     * Each turn of the event loop polls all connections, then runs the tasks that are due. A task that is scheduled by
     * another one is due in the next turn.
     */
    fun afterNextRead(task: () -> Unit) = eventLoop.execute {
        eventLoop.schedule(task, 0, TimeUnit.NANOSECONDS)
    }

    /** Runs [task] after [delay]. */
    fun after(delay: Duration, task: () -> Unit) {
        eventLoop.schedule(task, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
}
