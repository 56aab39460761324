package org.cicadaarch.forwarding.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.watch.PrefixUpdate
import org.cicadaarch.dispatch.watch.WatchEffect
import org.cicadaarch.dispatch.watch.WatchEvent
import org.cicadaarch.dispatch.watch.WatchReducer
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.observation.StoreCallResult
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoreVersion
import org.cicadaarch.store.Store

/**
 * Watches the store's values under [prefix] and passes them to [onValues] after each change. All functions must be
 * called in tasks of [scheduler]. The [WatchReducer] explains the grace periods for removed values, the minimum outage,
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
    restorationGracePeriod: Duration = removalGracePeriod,
    maxRemovalAge: Duration = Duration.INFINITE,
) {
    private val reducer = WatchReducer(
        prefix = prefix,
        removalGracePeriod = removalGracePeriod,
        minOutage = minOutage,
        maxValueLength = maxValueLength,
        firstWatchDelay = FIRST_WATCH_DELAY,
        batchingDelay = batchingDelay,
        restorationGracePeriod = restorationGracePeriod,
        maxRemovalAge = maxRemovalAge,
    )

    /** The known values and the progress of the watch. */
    var state = WatchState()
        private set
    private var cancelTick: () -> Unit = {}
    private val statistics = CallStatistics(scheduler, ::logCalls)
    private val freshness = WatchFreshness()

    /** Time since the store last answered a call other than by a failure; null if it never did. */
    val answerAge: Duration? get() = freshness.answeredAt?.let { scheduler.now() - it }

    /**
     * Time since the values were last known to be those of the store, because it answered or because another router
     * that watches it knew nothing newer; null if they never were.
     */
    val valuesAge: Duration? get() = freshness.currentAt?.let { scheduler.now() - it }

    /** Called each time a later version of the values is known. */
    var onNewVersion: () -> Unit = {}

    /** Called when the values of a new era of the store are known, with those that the store lacks. */
    var onRestored: (missing: Map<String, String>) -> Unit = {}

    /** Called when this router no longer watches the store, because calls fail or other routers watch for it. */
    var onWatchEnded: () -> Unit = {}

    /** Starts to watch. */
    fun start() = submit(WatchEvent.Started)

    /** Applies an [update] that [peer] sent if it is newer than the known values. */
    fun applyPeerUpdate(peer: RouterAddress, update: PrefixUpdate) {
        if (update.version > state.version) {
            LogEvents.info("values-relayed") {
                "prefix" to prefix
                "peer" to peer
                "version" to update.version
                "before" to state.version
                "since" to update.baseVersion
                "removed" to listed(update.removed)
                "expiring" to listed(update.expiring.keys)
            }
        }
        submit(WatchEvent.PeerUpdateReceived(update))
    }

    /** Another router, which watches the store, has sent all that it knows beyond the values known here. */
    fun confirmedByPeer() {
        freshness.confirmedByPeer(state, scheduler.now())
        if (state.phase is WatchState.Phase.Delegated) submit(WatchEvent.CopyConfirmed)
    }

    /** Sends calls to the store if [isEnabled], or else relies on updates from other routers. */
    fun setWatchEnabled(isEnabled: Boolean) {
        val isDelegated = state.phase is WatchState.Phase.Delegated
        if (isEnabled == isDelegated) submit(if (isEnabled) WatchEvent.Resumed else WatchEvent.Delegated)
    }

    /** Gives up a waiting watch, as the store seems not to serve this router, for [reason]. */
    fun storeUnresponsive(reason: String) = submit(WatchEvent.StoreUnresponsive(reason))

    /** The store has answered this router: its watch, if it waits, has no news. */
    fun storeAnswered() {
        if (state.phase is WatchState.Phase.Watching) submit(WatchEvent.CopyConfirmed)
    }

    /** Reads the values again if the store has not been known to be in [era]. */
    fun eraObserved(era: Long) = submit(WatchEvent.EraObserved(era))

    private fun submit(event: WatchEvent) {
        val before = state
        val step = reducer.reduce(before, event, scheduler.now())
        state = step.state
        logRemovals(event, before)
        step.effects.forEach { execute(it) }
        scheduleTick()
        if (state.version > before.version) onNewVersion()
        if (before.version.isRead && state.version.era > before.version.era) restored(before.version)
        if (before.isWatchingStore && !state.isWatchingStore) onWatchEnded()
    }

    private fun restored(before: StoreVersion) {
        val missing = state.expiring.mapValues { (key, _) -> state.values.getValue(key) }
        LogEvents.warn("values-restored") {
            "prefix" to prefix
            "version" to state.version
            "before" to before
            "values" to state.values.size
            "kept" to listed(missing.keys)
        }
        onRestored(missing)
    }

    /** Logs the values that were removed or started to expire because of [event], unless a peer caused it. */
    private fun logRemovals(event: WatchEvent, before: WatchState) {
        if (event is WatchEvent.PeerUpdateReceived) return
        val removed = before.values.keys - state.values.keys
        val expiring = state.expiring.keys - before.expiring.keys
        if (removed.isEmpty() && expiring.isEmpty()) return
        LogEvents.info(if (event is WatchEvent.Tick) "values-expired" else "values-removed") {
            "prefix" to prefix
            "version" to state.version
            "before" to before.version
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
                scheduler.execute { callEnded(effect, result) }
            }

            is WatchEffect.ValuesChanged -> onValues(effect.values)

            is WatchEffect.StoreLost -> LogEvents.warn("store-lost") {
                "prefix" to prefix
                "version" to state.version
                "reason" to effect.reason
            }

            WatchEffect.StoreRegained -> LogEvents.info("store-regained") {
                "prefix" to prefix
                "version" to state.version
            }
        }
    }

    private fun callEnded(call: WatchEffect.Call, result: StoreResult) {
        val before = state
        submit(WatchEvent.CallCompleted(call.callId, result))
        freshness.callEnded(call, result, before, state, scheduler.now())
        val label = StoreCallResult.of(call.command, result)
        val count = statistics.callEnded(label, before.version, state.version)
        if (label == StoreCallResult.COMPACTED && count == 1) logHistoryLost(before)
    }

    /** For the first such answer in a while. The summary of the calls has the number of them. */
    private fun logHistoryLost(before: WatchState) = LogEvents.info("history-lost") {
        "prefix" to prefix
        "version" to before.version
    }

    private fun logCalls(calls: CallSummary) {
        val log = if (calls.isInVain) LogEvents::warn else LogEvents::info
        log("store-calls") {
            "prefix" to prefix
            "calls" to calls.callCount
            "news" to calls.newsCount
            StoreCallResult.entries.forEach { result -> result.label to calls.results[result] }
            "version" to calls.after
            "before" to calls.before
            "millis" to (scheduler.now() - calls.startedAt).inWholeMilliseconds
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
