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
 * Watches the store's values under [prefix] and passes them to [onValues] after each change. All functions must be
 * called on [eventLoop]. The [WatchReducer] explains the grace period for removed values and the minimum outage.
 */
internal class PrefixWatcher(
    private val prefix: String,
    removalGracePeriod: Duration,
    minOutage: Duration,
    private val store: Store,
    private val eventLoop: EventLoop,
    private val onValues: (Map<String, String>) -> Unit,
) {
    private val reducer = WatchReducer(prefix, removalGracePeriod, minOutage)

    /** The known values and the progress of the watch. */
    var state = WatchState()
        private set
    private var timer: ScheduledFuture<*>? = null

    /** Called each time the known revision increases. */
    var onNewRevision: () -> Unit = {}

    /** Starts to watch. */
    fun start() = submit(WatchEvent.Started)

    /** Applies an update from another router if it is newer than the known values. */
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

    /** Sends calls to the store if [isEnabled], or else relies on updates from other routers. */
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
