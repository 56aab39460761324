package org.cicadaarch.forwarding.backlog

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.forwarding.simulation.VirtualTime

/** Guards against unsent bytes that are not counted, or counted for longer than they are held. */
class BacklogTrackerTest {
    private val time = VirtualTime()
    private var abortedCount = 0
    private val tracker = BacklogTracker(BacklogLimit(maxBytes = 100_000), time) { abortedCount += 1 }

    @Test
    fun `Given clients that stop reading, when the sum is over the bound, then only the first of them is aborted`() {
        val clients = List(3) { Client() }
        clients.forEach {
            it.write(40_000)
            pass()
        }
        assertEquals(listOf(true, false, false), clients.map { it.isAborted })
        assertEquals(80_000, tracker.totalBytes)
        assertEquals(1, abortedCount)
    }

    /** Guards against aborts by an old count, when the clients have read meanwhile. */
    @Test
    fun `Given clients that have read without a report, when another one falls behind, then nothing is aborted`() {
        val clients = List(3) { Client() }
        clients.take(2).forEach { it.write(40_000) }
        clients.take(2).forEach { it.unsentBytes = 0 }
        clients[2].write(90_000)
        time.runUntil(time.now + 1.milliseconds)
        assertEquals(0, abortedCount)
        assertEquals(90_000, tracker.totalBytes)
    }

    @Test
    fun `Given a client that reads slowly, when another one stops after it, then the one that stopped is aborted`() {
        val slow = Client()
        val stopped = Client()
        slow.write(60_000)
        pass()
        stopped.write(30_000)
        repeat(3) {
            pass()
            slow.unsentBytes -= 20_000
            tracker.update(slow)
            slow.write(20_000)
        }
        slow.write(20_000)
        pass()
        assertEquals(listOf(false, true), listOf(slow, stopped).map { it.isAborted })
    }

    @Test
    fun `Given backlogs, when their connections close or drain, then nothing is counted`() {
        val clients = List(2) { Client() }
        clients.forEach { it.write(10_000) }
        tracker.remove(clients[0])
        clients[1].unsentBytes = 0
        pass()
        assertEquals(0, tracker.totalBytes)
        assertEquals(0, tracker.responseCount)
    }

    private fun pass() = time.runUntil(time.now + 1.seconds)

    private inner class Client : BacklogOwner {
        override var unsentBytes = 0L
        override val requestId = "a"
        var isAborted = false

        fun write(bytes: Int) {
            unsentBytes += bytes
            tracker.update(this)
        }

        override fun abortUnread() {
            isAborted = true
        }
    }
}
