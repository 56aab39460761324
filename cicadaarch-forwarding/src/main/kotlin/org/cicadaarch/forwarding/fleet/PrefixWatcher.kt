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
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.store.Store

/**
 * Follows the values below [prefix] and gives every change to [onValues], on [eventLoop].
 */
internal class PrefixWatcher(
    private val prefix: String,
    removalDelay: Duration,
    minimumOutage: Duration,
    private val store: Store,
    private val eventLoop: EventLoop,
    private val onValues: (Map<String, String>) -> Unit,
) {
    private val reducer = WatchReducer(prefix, removalDelay, minimumOutage)

    /** What is known of the prefix. */
    var state = WatchState()
        private set
    private var timer: ScheduledFuture<*>? = null

    /** Told after each change of the revision. */
    var onNewRevision: () -> Unit = {}

    /** Starts to follow. */
    fun start() = submit(WatchEvent.Started)

    /** Takes over what another router knows, if that is newer. */
    fun applyPeerUpdate(update: PrefixUpdate) {
        if (update.revision > state.revision) {
            LogEvents.info("values-relayed") {
                "prefix" to prefix
                "revision" to update.revision
                "before" to state.revision
                "since" to update.baseRevision
            }
        }
        submit(WatchEvent.PeerUpdateReceived(update))
    }

    /** Makes calls of the store, or leaves them to other routers. */
    fun setWatchEnabled(isEnabled: Boolean) {
        val isDelegated = state.phase is WatchState.Phase.Delegated
        if (isEnabled == isDelegated) submit(if (isEnabled) WatchEvent.Resumed else WatchEvent.Delegated)
    }

    private fun submit(event: WatchEvent) {
        val step = reducer.reduce(state, event, NanoTimeClock.now())
        val before = state.revision
        state = step.state
        step.effects.forEach { execute(it) }
        scheduleTick()
        if (state.revision > before) onNewRevision()
    }

    private fun execute(effect: WatchEffect) {
        when (effect) {
            is WatchEffect.Call -> store.execute(effect.command) { result ->
                eventLoop.execute { submit(WatchEvent.CallCompleted(effect.callId, result)) }
            }

            is WatchEffect.ValuesChanged -> onValues(effect.values)

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

    private fun scheduleTick() {
        timer?.cancel(false)
        val next = reducer.nextTick(state) ?: return
        val delay = (next - NanoTimeClock.now()).inWholeMilliseconds.coerceAtLeast(0) + 1
        timer = eventLoop.schedule({ submit(WatchEvent.Tick) }, delay, TimeUnit.MILLISECONDS)
    }
}
