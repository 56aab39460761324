package org.cicadaarch.logging

/**
 * A token bucket that allows [linesPerSecond] log lines on average, and as many in a burst. It counts the lines that
 * are dropped.
 */
internal class LogRateLimiter(private val linesPerSecond: Int, private val nanoTime: () -> Long = System::nanoTime) {
    private var tokens = linesPerSecond.toDouble()
    private var refilledAt = nanoTime()
    private var dropped = 0L

    /** Takes a token for one line; returns false if the line has to be dropped. */
    @Synchronized
    fun tryAcquire(): Boolean {
        val now = nanoTime()
        tokens = (tokens + (now - refilledAt) * linesPerSecond / NANOS_PER_SECOND).coerceAtMost(linesPerSecond * 1.0)
        refilledAt = now
        if (tokens < 1.0) {
            dropped += 1
            return false
        }
        tokens -= 1.0
        return true
    }

    /** Returns the number of lines dropped since the last call and resets it. */
    @Synchronized
    fun takeDroppedCount(): Long = dropped.also { dropped = 0 }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
