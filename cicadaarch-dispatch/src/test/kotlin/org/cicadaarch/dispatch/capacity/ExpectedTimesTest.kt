package org.cicadaarch.dispatch.capacity

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class ExpectedTimesTest {
    /** Guards against long prompts that make the target which reads them look slow. */
    @Test
    fun `Given responses in time, when a long prompt is read, then its response counts as in time too`() {
        val random = Random(1)
        val expected = (1..100).fold(ExpectedTimes()) { before, _ ->
            val tokens = random.nextInt(4_000)
            before.with(ROUTE, tokens, timeOf(tokens))
        }
        for (tokens in listOf(0, 100, 1_000, 8_000)) {
            val ratio = timeOf(tokens) / checkNotNull(expected.of(ROUTE, tokens))
            assertTrue(ratio in 0.7..1.4, "$tokens tokens: $ratio")
        }
    }

    /** Guards against targets that look slow before it is known how long a route takes. */
    @Test
    fun `Given a route of which little is known, when a response arrives, then nothing is expected of it`() {
        val expected = ExpectedTimes().with(ROUTE, uncachedTokens = 0, time = 10.milliseconds)
        assertEquals(null, expected.of(ROUTE, uncachedTokens = 0))
        assertEquals(null, expected.of("another", uncachedTokens = 0))
    }

    private fun timeOf(tokens: Int): Duration = 20.milliseconds + 0.2.milliseconds * tokens

    private companion object {
        const val ROUTE = "route"
    }
}
