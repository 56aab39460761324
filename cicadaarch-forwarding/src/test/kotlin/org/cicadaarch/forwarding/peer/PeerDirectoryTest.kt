package org.cicadaarch.forwarding.peer

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

class PeerDirectoryTest {
    private val fleet = (1..87).map { RouterAddress("10.0.0.$it", 8000) }
    private var now = Timestamp(0)

    @Test
    fun `Given a large fleet, when all routers have heard of each other, then all agree on a few that watch`() {
        val watchers = fleet.map { self -> informed(self).watchers(now).toSet() }.distinct().single()
        assertEquals(PeerDirectory.WATCHER_COUNT, watchers.size)
    }

    @Test
    fun `Given a small fleet, when all are known, then every router watches`() {
        val few = fleet.take(7)
        few.forEach { self ->
            val directory = PeerDirectory(self, seeds = few.take(3)).also { it.addAll(few) }
            assertEquals(few.toSet(), directory.watchers(now).toSet())
        }
    }

    @Test
    fun `Given watchers that fail or are not served, when others are known, then the next ones take their place`() {
        val directory = informed(fleet.first())
        val before = directory.watchers(now)
        val (silent, unserved) = before.filter { it != fleet.first() }
        directory.recordFailure(silent, now)
        directory.recordContact(unserved, now, isWatchingStore = false)
        val after = directory.watchers(now)
        assertEquals(PeerDirectory.WATCHER_COUNT, after.size)
        assertFalse(silent in after || unserved in after)
        now += 3.seconds
        assertEquals(before, directory.watchers(now))
    }

    @Test
    fun `Given a router that is gone, when others still tell of it, then it stays forgotten until it asks itself`() {
        val directory = informed(fleet.first())
        val gone = directory.watchers(now).first { it != fleet.first() }
        repeat(3) { directory.recordFailure(gone, now) }
        now += 10.seconds
        directory.addReported(gone, now)
        assertFalse(gone in directory.candidates(now))
        directory.recordContact(gone, now, isWatchingStore = true)
        assertTrue(gone in directory.watchers(now))
    }

    @Test
    fun `Given routers that are only heard of, when another router asks, then they are not passed on`() {
        val directory = informed(fleet.first())
        directory.recordContact(fleet[5], now)
        assertEquals(listOf(fleet[5]), directory.live(now))
        now += 5.seconds
        assertTrue(directory.live(now).isEmpty())
    }

    private fun informed(self: RouterAddress): PeerDirectory {
        val order = fleet.shuffled(Random(self.hashCode()))
        return PeerDirectory(self, seeds = fleet.take(3)).also { it.addAll(order) }
    }

    private fun PeerDirectory.addAll(routers: List<RouterAddress>) = routers.forEach { addReported(it, now) }
}
