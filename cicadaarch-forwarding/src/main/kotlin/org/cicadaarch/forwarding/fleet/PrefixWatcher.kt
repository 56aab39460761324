package org.cicadaarch.forwarding.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.watch.PrefixUpdate
import org.cicadaarch.dispatch.watch.WatchEffect
import org.cicadaarch.dispatch.watch.WatchEvent
import org.cicadaarch.dispatch.watch.WatchReducer
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.Store

/**
 * Watches the store's values under [prefix] and passes them to [onValues] after each change. All functions must be
 * called in tasks of [scheduler]. The [WatchReducer] explains the grace period for removed values, the minimum outage,
 * the maximum length of values and the batching delay.
 */
internal class PrefixWatcher(
    private val prefix: String,
    removalGracePeriod: Duration,
    minOutage: Duration,
    maxValueLength: Int,
    private val store: Store,
    private val scheduler: TaskScheduler,
    private val onValues: (Map<String, String>) -> Unit,
    batchingDelay: Duration = WatchReducer.DEFAULT_BATCHING_DELAY,
) {
    private val reducer = WatchReducer(
        prefix = prefix,
        removalGracePeriod = removalGracePeriod,
        minOutage = minOutage,
        maxValueLength = maxValueLength,
        firstWatchDelay = FIRST_WATCH_DELAY,
        batchingDelay = batchingDelay,
    )

    /** The known values and the progress of the watch. */
    var state = WatchState()
        private set
    private var cancelTick: () -> Unit = {}

    /** Called each time the known revision increases. */
    var onNewRevision: () -> Unit = {}

    /** Called when this router no longer watches the store, because calls fail or other routers watch for it. */
    var onWatchEnded: () -> Unit = {}

    /** Starts to watch. */
    fun start() = submit(WatchEvent.Started)

    /** Applies an [update] that [peer] sent if it is newer than the known values. */
    fun applyPeerUpdate(peer: RouterAddress, update: PrefixUpdate) {
        if (update.revision > state.revision) {
            LogEvents.info("values-relayed") {
                "prefix" to prefix
                "peer" to peer
                "revision" to update.revision
                "before" to state.revision
                "since" to update.baseRevision
                "removed" to listed(update.removed)
                "expiring" to listed(update.expiring.keys)
            }
        }
        submit(WatchEvent.PeerUpdateReceived(update))
    }

    /** Sends calls to the store if [isEnabled], or else relies on updates from other routers. */
    fun setWatchEnabled(isEnabled: Boolean) {
        val isDelegated = state.phase is WatchState.Phase.Delegated
        if (isEnabled == isDelegated) submit(if (isEnabled) WatchEvent.Resumed else WatchEvent.Delegated)
    }

    /** Gives up a waiting watch, as the store seems not to serve this router, for [reason]. */
    fun storeUnresponsive(reason: String) = submit(WatchEvent.StoreUnresponsive(reason))

    private fun submit(event: WatchEvent) {
        val before = state
        val step = reducer.reduce(before, event, scheduler.now())
        state = step.state
        logRemovals(event, before)
        step.effects.forEach { execute(it) }
        scheduleTick()
        if (state.revision > before.revision) onNewRevision()
        if (before.isWatchingStore && !state.isWatchingStore) onWatchEnded()
    }

    /** Logs the values that were removed or started to expire because of [event], unless a peer caused it. */
    private fun logRemovals(event: WatchEvent, before: WatchState) {
        if (event is WatchEvent.PeerUpdateReceived) return
        val removed = before.values.keys - state.values.keys
        val expiring = state.expiring.keys - before.expiring.keys
        if (removed.isEmpty() && expiring.isEmpty()) return
        LogEvents.info(if (event is WatchEvent.Tick) "values-expired" else "values-removed") {
            "prefix" to prefix
            "revision" to state.revision
            "before" to before.revision
            "removed" to listed(removed)
            "expiring" to listed(expiring)
        }
    }

    /** The first [MAX_LISTED_KEYS] of [keys], and the number of the others; null if there are none. */
    private fun listed(keys: Set<String>): String? {
        if (keys.isEmpty()) return null
        val names = keys.take(MAX_LISTED_KEYS).joinToString(separator = ",") { it.removePrefix(prefix) }
        val others = keys.size - MAX_LISTED_KEYS
        return if (others > 0) "$names,+$others" else names
    }

    private fun execute(effect: WatchEffect) {
        when (effect) {
            is WatchEffect.Call -> store.execute(effect.command) { result ->
                scheduler.execute { submit(WatchEvent.CallCompleted(effect.callId, result)) }
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
        cancelTick()
        val next = reducer.nextTick(state) ?: return
        val delay = (next - scheduler.now()).coerceAtLeast(Duration.ZERO) + 1.milliseconds
        cancelTick = scheduler.schedule(delay) { submit(WatchEvent.Tick) }
    }

    private companion object {
        /** A router learns within its first polls of others whether it is one of those that watch. */
        val FIRST_WATCH_DELAY = 500.milliseconds
        const val MAX_LISTED_KEYS = 16
    }
}
