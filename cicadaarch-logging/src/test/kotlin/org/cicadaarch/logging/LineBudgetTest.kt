package org.cicadaarch.logging

import kotlin.test.Test
import kotlin.test.assertEquals

class LineBudgetTest {
    private var now = 0L
    private val budget = LineBudget(linesPerSecond = 10) { now }

    @Test
    fun `Given more lines than allowed, when they come at once, then the rest is left out and counted`() {
        assertEquals(10, (1..25).count { budget.allows() })
        assertEquals(15, budget.takeLeftOut())
        assertEquals(0, budget.takeLeftOut())
    }

    @Test
    fun `Given a spent budget, when time passes, then lines are allowed again at the rate`() {
        repeat(10) { budget.allows() }
        now += 500_000_000
        assertEquals(5, (1..25).count { budget.allows() })
        now += 60_000_000_000
        assertEquals(10, (1..25).count { budget.allows() })
    }
}
