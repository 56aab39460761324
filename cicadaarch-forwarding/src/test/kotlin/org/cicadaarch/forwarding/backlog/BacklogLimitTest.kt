package org.cicadaarch.forwarding.backlog

import kotlin.test.Test
import kotlin.test.assertEquals
import org.cicadaarch.model.Timestamp

/** Guards against clients that read nothing and together fill the memory, and against aborts of the wrong responses. */
class BacklogLimitTest {
    private val limit = BacklogLimit(maxBytes = 1_000)

    @Test
    fun `Given a sum up to the bound, when it is checked, then nothing is aborted`() {
        val backlogs = mapOf("a" to backlog(bytes = 600, since = 1), "b" to backlog(bytes = 400, since = 2))
        assertEquals(emptyList(), limit.responsesToAbort(backlogs))
    }

    @Test
    fun `Given a sum over the bound, when it is checked, then the longest unread responses are aborted`() {
        val cases = listOf(
            Case(
                listOf(backlog(400, since = 3), backlog(400, since = 1), backlog(400, since = 2)),
                aborted = listOf(1),
            ),
            Case(listOf(backlog(900, since = 9), backlog(50, since = 1), backlog(60, since = 2)), aborted = listOf(1)),
            Case(listOf(backlog(990, since = 9), backlog(5, since = 1), backlog(60, since = 2)), listOf(1, 2)),
            Case(listOf(backlog(1_001, since = 5)), aborted = listOf(0)),
        )
        cases.forEach { case ->
            val backlogs = case.backlogs.withIndex().associate { it.index to it.value }
            assertEquals(case.aborted, limit.responsesToAbort(backlogs), "$case")
        }
    }

    @Test
    fun `Given responses unread equally long, when one is aborted, then it is the largest`() {
        val backlogs = mapOf("a" to backlog(300, since = 1), "b" to backlog(800, since = 1))
        assertEquals(listOf("b"), limit.responsesToAbort(backlogs))
    }

    private fun backlog(bytes: Long, since: Long) = ResponseBacklog.of(bytes, Timestamp(since))

    private data class Case(val backlogs: List<ResponseBacklog>, val aborted: List<Int>)
}
