package org.cicadaarch.forwarding.fleet

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.dispatch.watch.PrefixUpdate
import org.cicadaarch.dispatch.watch.WatchEffect
import org.cicadaarch.dispatch.watch.WatchEvent
import org.cicadaarch.dispatch.watch.WatchReducer
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.store.Store

/**
 * Follows the values below [prefix] and gives every change to [onChange], on [eventLoop].
 */
internal class FollowRunner(
    private val prefix: String,
    settleTime: Duration,
    shortestOutage: Duration,
    private val store: Store,
    private val eventLoop: EventLoop,
    private val onChange: (Map<String, String>) -> Unit,
) {
    private val reducer = WatchReducer(prefix, settleTime, shortestOutage)

    /** What is known of the prefix. */
    var state = WatchState()
        private set
    private var timer: ScheduledFuture<*>? = null

    /** Told after each change of the revision. */
    var onRevision: () -> Unit = {}

    /** Starts to follow. */
    fun start() = submit(WatchEvent.Started)

    /** Takes over what another router knows, if that is newer. */
    fun relay(changes: PrefixUpdate) {
        if (changes.revision > state.revision) {
            LogEvents.info("values-relayed") {
                "prefix" to prefix
                "revision" to changes.revision
                "before" to state.revision
                "since" to changes.baseRevision
            }
        }
        submit(WatchEvent.PeerUpdateReceived(changes))
    }

    /** Makes calls of the store, or leaves them to other routers. */
    fun callStore(isWanted: Boolean) {
        val isDelegated = state.phase is WatchState.Phase.Delegated
        if (isWanted == isDelegated) submit(if (isWanted) WatchEvent.Resumed else WatchEvent.Delegated)
    }

    private fun submit(event: WatchEvent) {
        val step = reducer.reduce(state, event, EventLoopClock.now())
        val before = state.revision
        state = step.state
        step.effects.forEach { carryOut(it) }
        schedule()
        if (state.revision > before) onRevision()
    }

    private fun carryOut(effect: WatchEffect) {
        when (effect) {
            is WatchEffect.Call -> store.execute(effect.command) { result ->
                eventLoop.execute { submit(WatchEvent.CallCompleted(effect.callId, result)) }
            }

            is WatchEffect.ValuesChanged -> onChange(effect.values)

            is WatchEffect.StoreLost -> LogEvents.warn("store-lost") {
                "prefix" to prefix
                "revision" to state.revision
                "reason" to effect.reason
            }

            WatchEffect.StoreRegained -> LogEvents.info("store-regained") {
                "prefix" to prefix
                "revision" to state.revision
            }
        }
    }

    private fun schedule() {
        timer?.cancel(false)
        val next = reducer.nextTick(state) ?: return
        val delay = (next - EventLoopClock.now()).inWholeMilliseconds.coerceAtLeast(0) + 1
        timer = eventLoop.schedule({ submit(WatchEvent.Tick) }, delay, TimeUnit.MILLISECONDS)
    }
}
