package org.cicadaarch.forwarding.backlog

import kotlin.test.Test
import kotlin.test.assertEquals
import org.cicadaarch.model.Timestamp

/** Guards against a client that reads a few bytes a second and so passes for one that reads. */
class ResponseBacklogTest {
    @Test
    fun `Given a client that takes little, when its backlog is updated, then it stays unread since its start`() {
        val start = ResponseBacklog.of(bytes = 100_000, now = Timestamp(0))
        val end = (1..100L).fold(start) { backlog, step -> backlog.updated(100_000 - step, Timestamp(step * 1_000)) }
        assertEquals(Timestamp(0), end.unreadSince)
        assertEquals(99_900, end.unsentBytes)
    }

    @Test
    fun `Given a client that takes much, when more is written at once, then its backlog counts as read`() {
        val read = ResponseBacklog.of(bytes = 65_000, now = Timestamp(0)).updated(32_000, Timestamp(500))
        val refilled = read.updated(90_000, Timestamp(600))
        assertEquals(Timestamp(500), refilled.unreadSince)
        assertEquals(90_000, refilled.unsentBytes)
    }

    @Test
    fun `Given a client that stops, when more is written, then what it takes counts from the largest backlog`() {
        val grown = ResponseBacklog.of(bytes = 10, now = Timestamp(0)).updated(60_000, Timestamp(100))
        assertEquals(Timestamp(0), grown.unreadSince)
        assertEquals(Timestamp(200), grown.updated(40_000, Timestamp(200)).unreadSince)
    }
}
