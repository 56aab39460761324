package org.cicadaarch.forwarding.peer

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.forwarding.fleet.StoreProbe
import org.cicadaarch.forwarding.simulation.SimulatedStore
import org.cicadaarch.forwarding.simulation.SimulatedStoreClient
import org.cicadaarch.forwarding.simulation.VirtualTime

class FallbackWatchTest {
    private val time = VirtualTime()
    private val store = SimulatedStoreClient(SimulatedStore(time), time)
    private var isWatching = false
    private val fallbackWatch = FallbackWatch(
        scheduler = time,
        storeProbe = StoreProbe(store, time, bound = 2.seconds),
        maxSilence = 1.seconds,
        random = Random(1),
        isWatching = { isWatching },
        onChange = {},
    ).also { it.start() }

    /** Guards against calls to the store, and log lines, of routers that watch anyway. */
    @Test
    fun `Given a router that watches, when it hears of no other one, then it does not ask the store`() {
        isWatching = true
        runFor(10.seconds)
        assertEquals(false, fallbackWatch.isActive)
        assertEquals(0.0, store.callCount)
    }

    @Test
    fun `Given a router that hears of others that watch, when time passes, then it does not ask the store`() {
        repeat(20) {
            fallbackWatch.heardOfWatcher()
            runFor(0.5.seconds)
        }
        assertEquals(0.0, store.callCount)
    }

    @Test
    fun `Given silence, when the store answers, then the router watches until it hears of another one`() {
        runFor(2.seconds)
        assertEquals(true, fallbackWatch.isActive)
        fallbackWatch.heardOfWatcher()
        assertEquals(false, fallbackWatch.isActive)
    }

    @Test
    fun `Given silence, when the store does not answer, then the router does not watch`() {
        store.cut(withReset = false)
        runFor(5.seconds)
        assertEquals(false, fallbackWatch.isActive)
    }

    @Test
    fun `Given a watching router that is lost, when no other is heard of, then half of the silence is enough`() {
        fallbackWatch.watcherLost()
        runFor(0.8.seconds)
        assertEquals(true, fallbackWatch.isActive)
    }

    private fun runFor(duration: Duration) = time.runUntil(time.now + duration)
}
