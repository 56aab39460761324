package org.cicadaarch.forwarding.backlog

import org.cicadaarch.model.Timestamp

/**
 * The part of a response that waits for its client: [unsentBytes] now, and since when the client has taken next to
 * nothing of it. [unsentAtMost] is the largest number of unsent bytes since then.
 */
internal data class ResponseBacklog(val unsentBytes: Long, val unreadSince: Timestamp, val unsentAtMost: Long) {
    /** The backlog at [now], when [bytes] are unsent. */
    fun updated(bytes: Long, now: Timestamp): ResponseBacklog {
        val hasProgress = unsentAtMost - bytes >= MIN_PROGRESS_BYTES
        return if (hasProgress) {
            of(bytes, now)
        } else {
            copy(unsentBytes = bytes, unsentAtMost = maxOf(unsentAtMost, bytes))
        }
    }

    companion object {
        /** A client that takes less between two updates, time and again, is one that reads a few bytes a second. */
        const val MIN_PROGRESS_BYTES = 16L * 1024

        /** The backlog of a response of which [bytes] are unsent since [now]. */
        fun of(bytes: Long, now: Timestamp) =
            ResponseBacklog(unsentBytes = bytes, unreadSince = now, unsentAtMost = bytes)
    }
}
