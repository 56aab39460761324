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
    fun `Given a large fleet, when all routers know each other, then all choose the same few watchers`() {
        val watchers = fleet.map { self -> directoryOf(self).watchers(now).toSet() }.distinct().single()
        assertEquals(PeerDirectory.WATCHER_COUNT, watchers.size)
    }

    @Test
    fun `Given a small fleet, when all routers know each other, then every router watches`() {
        val few = fleet.take(7)
        few.forEach { self ->
            val directory = PeerDirectory(self, seeds = few.take(3), BOUND).also { it.addAll(few) }
            assertEquals(few.toSet(), directory.watchers(now).toSet())
        }
    }

    @Test
    fun `Given watchers that fail or lose the store, when others are known, then the next by rank replace them`() {
        val directory = directoryOf(fleet.first())
        val before = directory.watchers(now)
        val (failed, notWatching) = before.filter { it != fleet.first() }
        directory.recordFailure(failed, now)
        directory.recordContact(notWatching, now, isWatchingStore = false)
        val after = directory.watchers(now)
        assertEquals(PeerDirectory.WATCHER_COUNT, after.size)
        assertFalse(failed in after || notWatching in after)
        now += 3.seconds
        assertEquals(before, directory.watchers(now))
    }

    @Test
    fun `Given an evicted router, when others still report it, then it stays evicted until it makes contact`() {
        val directory = directoryOf(fleet.first())
        val evicted = directory.watchers(now).first { it != fleet.first() }
        repeat(3) { directory.recordFailure(evicted, now) }
        now += 10.seconds
        directory.addReported(evicted, now)
        assertFalse(evicted in directory.candidates(now))
        directory.recordContact(evicted, now, isWatchingStore = true)
        assertTrue(evicted in directory.watchers(now))
    }

    @Test
    fun `Given routers known only from reports, when one makes contact, then only that one is reported`() {
        val directory = directoryOf(fleet.first())
        directory.recordContact(fleet[5], now)
        assertEquals(listOf(fleet[5]), directory.live(now))
        now += 5.seconds
        assertTrue(directory.live(now).isEmpty())
    }

    private fun directoryOf(self: RouterAddress): PeerDirectory {
        val order = fleet.shuffled(Random(self.hashCode()))
        return PeerDirectory(self, seeds = fleet.take(3), BOUND).also { it.addAll(order) }
    }

    private fun PeerDirectory.addAll(routers: List<RouterAddress>) = routers.forEach { addReported(it, now) }

    private companion object {
        val BOUND = 2.seconds
    }
}
