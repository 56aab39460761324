package org.cicadaarch.dispatch.admission

import org.cicadaarch.model.Timestamp

/**
 * The [count] of attempts that ended with a response, the last of them at [lastAt].
 */
data class ResponseRecord(val count: Int = 0, val lastAt: Timestamp? = null) {
    /** A copy with a response that ended at [now]. */
    fun with(now: Timestamp) = ResponseRecord(count = (count + 1).coerceAtMost(MAX_COUNT), lastAt = now)

    private companion object {
        const val MAX_COUNT = 1_000
    }
}
