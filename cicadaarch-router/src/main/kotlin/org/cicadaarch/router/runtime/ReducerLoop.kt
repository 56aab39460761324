package org.cicadaarch.router.runtime

import io.netty.channel.DefaultEventLoop
import io.netty.util.concurrent.DefaultThreadFactory
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.core.RouterEffect
import org.cicadaarch.core.RouterEvent
import org.cicadaarch.core.RouterReducer
import org.cicadaarch.core.RouterState
import org.cicadaarch.logging.LogEvents

/**
 * Runs the reducer on one thread: events in the order of their submission, effects after each event.
 */
class ReducerLoop(
    private val reducer: RouterReducer,
    initialState: RouterState,
    private val carryOut: (RouterEffect) -> Unit,
) : AutoCloseable {
    private val thread = DefaultEventLoop(null, DefaultThreadFactory("reducer", true))

    /** The state after the last event; safe to read from any thread. */
    @Volatile
    var state: RouterState = initialState
        private set

    /** Starts the periodic tick. */
    fun start() {
        repeat(RouterReducer.TICK_INTERVAL) { RouterEvent.Tick }
        repeat(RouterReducer.LEDGER_TICK_INTERVAL) { RouterEvent.LedgerTick(MonotonicClock.epochSeconds()) }
    }

    /** Hands [event] to the reducer, from any thread. */
    fun submit(event: RouterEvent) {
        if (!thread.isShuttingDown) thread.execute { reduce(event) }
    }

    override fun close() {
        thread.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** After a pause there is one tick, not all the missed ones, so that the roles see how long the pause was. */
    private fun repeat(interval: Duration, event: () -> RouterEvent) {
        val milliseconds = interval.inWholeMilliseconds
        thread.scheduleWithFixedDelay({ reduce(event()) }, milliseconds, milliseconds, TimeUnit.MILLISECONDS)
    }

    private fun reduce(event: RouterEvent) {
        try {
            val step = reducer.reduce(state, event, MonotonicClock.now())
            state = step.state
            step.effects.forEach(carryOut)
        } catch (exception: RuntimeException) {
            LogEvents.error("reducer-failed", exception) { "input" to event::class.simpleName }
        }
    }
}
