package org.cicadaarch.forwarding

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.model.Timestamp

/**
 * Runs tasks on [eventLoop].
 */
internal class EventLoopScheduler(private val eventLoop: EventLoop) : TaskScheduler {
    override fun now(): Timestamp = NanoTimeClock.now()

    override fun execute(task: () -> Unit) = eventLoop.execute(task)

    override fun schedule(delay: Duration, task: () -> Unit): () -> Unit {
        val future = eventLoop.schedule(task, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return { future.cancel(false) }
    }
}
