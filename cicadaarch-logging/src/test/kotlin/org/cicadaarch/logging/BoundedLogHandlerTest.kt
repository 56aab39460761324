package org.cicadaarch.logging

import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.logging.Level
import java.util.logging.LogRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BoundedLogHandlerTest {
    @Test
    fun `Given records of each level, when they are published, then each becomes a line`() {
        val output = ByteArrayOutputStream()
        val handler = BoundedLogHandler(output).also { it.start() }
        listOf(Level.SEVERE, Level.WARNING, Level.INFO, Level.FINE).forEach { handler.publish(record(it, "event=a")) }
        handler.publish(record(Level.WARNING, "event=b").apply { thrown = IllegalStateException("two words") })
        val lines = listOf("ERROR", "WARN", "INFO", "DEBUG").map { "$it event=a" } +
            "WARN event=b cause=\"java.lang.IllegalStateException: two words\""
        val expected = lines.joinToString(separator = "") { "time=1970-01-01T00:00:01.000Z level=$it\n" }
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        while (output.size() < expected.length && System.nanoTime() < deadline) Thread.sleep(1)
        assertEquals(expected, output.toString())
    }

    @Test
    fun `Given an output that nobody reads, when many records are published, then the caller is not blocked`() {
        val isRead = CountDownLatch(1)
        val blocked = object : OutputStream() {
            override fun write(byte: Int) = isRead.await()
        }
        val handler = BoundedLogHandler(blocked).also { it.start() }
        val startedAt = System.nanoTime()
        repeat(100_000) { handler.publish(record(Level.INFO, "event=a")) }
        assertTrue(System.nanoTime() - startedAt < TimeUnit.SECONDS.toNanos(10))
        isRead.countDown()
    }

    private fun record(level: Level, message: String) = LogRecord(level, message).apply {
        instant = java.time.Instant.ofEpochSecond(1)
    }
}
