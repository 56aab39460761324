package org.cicadaarch.logging

/**
 * Allows [linesPerSecond] lines on average and as many at once, and counts those that are left out.
 */
internal class LineBudget(private val linesPerSecond: Int, private val nanoTime: () -> Long = System::nanoTime) {
    private var tokens = linesPerSecond.toDouble()
    private var refilledAt = nanoTime()
    private var leftOut = 0L

    /** Whether one more line may be written now. */
    @Synchronized
    fun allows(): Boolean {
        val now = nanoTime()
        tokens = (tokens + (now - refilledAt) * linesPerSecond / NANOS_PER_SECOND).coerceAtMost(linesPerSecond * 1.0)
        refilledAt = now
        if (tokens < 1.0) {
            leftOut += 1
            return false
        }
        tokens -= 1.0
        return true
    }

    /** The number of lines left out since the last call. */
    @Synchronized
    fun takeLeftOut(): Long = leftOut.also { leftOut = 0 }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
