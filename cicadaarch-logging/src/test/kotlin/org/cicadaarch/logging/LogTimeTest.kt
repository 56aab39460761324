package org.cicadaarch.logging

import kotlin.test.Test
import kotlin.test.assertEquals

class LogTimeTest {
    @Test
    fun `Given times, when they are formatted, then each has all its digits`() {
        val cases = listOf(
            0L to "1970-01-01T00:00:00.000Z",
            1L to "1970-01-01T00:00:00.001Z",
            -1L to "1969-12-31T23:59:59.999Z",
            1_709_164_799_999L to "2024-02-28T23:59:59.999Z",
            1_709_164_800_000L to "2024-02-29T00:00:00.000Z",
            1_796_463_845_050L to "2026-12-05T09:44:05.050Z",
        )
        val time = LogTime()
        cases.forEach { (epochMillis, text) -> assertEquals(text, time.format(epochMillis)) }
    }
}
