package org.cicadaarch.logging

import kotlin.test.Test
import kotlin.test.assertEquals

class LogRateLimiterTest {
    private var now = 0L
    private val rateLimiter = LogRateLimiter(linesPerSecond = 10) { now }

    @Test
    fun `Given a burst above the limit, when lines are logged, then the excess is dropped and counted`() {
        assertEquals(10, (1..25).count { rateLimiter.tryAcquire() })
        assertEquals(15, rateLimiter.takeDroppedCount())
        assertEquals(0, rateLimiter.takeDroppedCount())
    }

    @Test
    fun `Given an exhausted limit, when time passes, then lines are allowed again at the configured rate`() {
        repeat(10) { rateLimiter.tryAcquire() }
        now += 500_000_000
        assertEquals(5, (1..25).count { rateLimiter.tryAcquire() })
        now += 60_000_000_000
        assertEquals(10, (1..25).count { rateLimiter.tryAcquire() })
    }
}
