package org.cicadaarch.forwarding.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.store.Store

/**
 * Finds out whether the store still serves this router while a watch waits for changes, of which the store says nothing
 * for seconds: sends a cheap read at intervals.
 *
 * News of the store may take [bound] to reach all routers. A router that watches for others finds out within a third of
 * that time that it is no longer served, which leaves them the rest to find another one.
 *
 * A store that does not answer is asked more and more rarely, until it does. All functions must
 * be called in tasks of [scheduler].
 */
internal class StoreProbe(private val store: Store, private val scheduler: TaskScheduler, bound: Duration) {
    private val interval = (bound * INTERVAL_SHARE).coerceAtLeast(MIN_INTERVAL)
    private val timeout = (bound * TIMEOUT_SHARE).coerceAtLeast(MIN_INTERVAL)
    private var failures = 0

    /** Starts to probe the store for the watches of [prefixWatchers]. */
    fun start(prefixWatchers: Collection<PrefixWatcher>) {
        scheduler.schedule(nextInterval()) {
            val isWatching = prefixWatchers.any { it.state.phase is WatchState.Phase.Watching }
            if (!isWatching) return@schedule start(prefixWatchers)
            ask { isServed ->
                prefixWatchers.forEach {
                    if (isServed) it.storeAnswered() else it.storeUnresponsive("no answer to a probe within $timeout")
                }
                start(prefixWatchers)
            }
        }
    }

    /** Asks the store once. Passes to [onResult] whether it has answered in time. */
    fun ask(onResult: (Boolean) -> Unit) {
        var isWaiting = true
        fun end(isServed: Boolean) {
            if (!isWaiting) return
            isWaiting = false
            failures = if (isServed) 0 else failures + 1
            onResult(isServed)
        }
        scheduler.schedule(timeout) { end(isServed = false) }
        store.execute(StoreCommand.Read(PROBE_KEY, mayBeStale = true)) { result ->
            scheduler.execute { end(isServed = result is StoreResult.Values) }
        }
    }

    private fun nextInterval(): Duration = interval * (1 shl failures.coerceAtMost(MAX_DOUBLINGS))

    private companion object {
        /** Nothing is stored there, so that the answer is short. */
        const val PROBE_KEY = "cicadaarch/probe"
        const val MAX_DOUBLINGS = 3
        const val INTERVAL_SHARE = 0.2
        const val TIMEOUT_SHARE = 0.125
        val MIN_INTERVAL = 100.milliseconds
    }
}
