package org.cicadaarch.forwarding.peer

import kotlin.random.Random
import kotlin.time.Duration
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.fleet.StoreProbe
import org.cicadaarch.logging.LogEvents

/**
 * Decides whether a router watches the store on its own account: once it has heard for [maxSilence] of no other router
 * that watches, or for half of that after one has stopped, and the store has answered a probe; until it hears of one
 * again.
 *
 * A router that watches anyway, as [isWatching] tells, needs no fallback.
 *
 * So news reaches a router that the store serves, whichever others are lost: those that watched for all may be refused,
 * frozen or cut off together.
 */
internal class FallbackWatch(
    private val scheduler: TaskScheduler,
    private val storeProbe: StoreProbe,
    private val maxSilence: Duration,
    private val random: Random,
    private val isWatching: () -> Boolean,
    private val onChange: () -> Unit,
) {
    private var heardAt = scheduler.now()
    private var hasLostWatcher = false

    /** Whether the router watches the store on its own account. */
    var isActive = false
        private set

    /** Starts to check whether other routers are silent. */
    fun start() {
        scheduler.schedule(timeLeft().coerceAtLeast(maxSilence * CHECK_INTERVAL_SHARE)) {
            if (isNeeded()) askStore()
            start()
        }
    }

    /** Another router has said that it watches the store. */
    fun heardOfWatcher() {
        heardAt = scheduler.now()
        hasLostWatcher = false
        if (isActive) set(false)
    }

    /** A router that this one relied on does not watch the store, or is lost. */
    fun watcherLost() {
        if (hasLostWatcher) return
        hasLostWatcher = true
        scheduler.schedule(timeLeft().coerceAtLeast(Duration.ZERO)) { if (isNeeded()) askStore() }
    }

    /** The store does not serve this router any longer. */
    fun storeLost() {
        if (isActive) set(false)
    }

    /** After a random pause, as most of the other routers are about to ask as well. */
    private fun askStore() {
        scheduler.schedule(maxSilence * MAX_PAUSE_SHARE * random.nextDouble()) {
            storeProbe.ask { isServed -> if (isServed && isNeeded()) set(true) }
        }
    }

    private fun isNeeded(): Boolean = !isWatching() && timeLeft() <= Duration.ZERO

    private fun timeLeft(): Duration =
        (if (hasLostWatcher) maxSilence / 2 else maxSilence) - (scheduler.now() - heardAt)

    private fun set(isActiveNow: Boolean) {
        isActive = isActiveNow
        LogEvents.info("store-fallback") {
            "active" to isActive
            "silentMillis" to (scheduler.now() - heardAt).inWholeMilliseconds
        }
        onChange()
    }

    private companion object {
        /** Shares of the silence allowed: between two checks, and for the longest pause before the store is asked. */
        const val CHECK_INTERVAL_SHARE = 0.3
        const val MAX_PAUSE_SHARE = 0.15
    }
}
