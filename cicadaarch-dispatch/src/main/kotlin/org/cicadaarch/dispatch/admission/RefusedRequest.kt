package org.cicadaarch.dispatch.admission

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp

/**
 * A request for [service] with [priority] that arrived at [arrivedAt], was refused, and should return at [returnAt]. It
 * will keep a slot for [cost] seconds.
 */
data class RefusedRequest(
    val service: ServiceName,
    val priority: Int,
    val arrivedAt: Timestamp,
    val returnAt: Timestamp,
    val cost: Double,
) {
    /** Whether it may return at [now]: its Retry-After has passed, and not so long ago that it is another request. */
    fun isDue(now: Timestamp): Boolean = now >= returnAt && !isOver(now)

    /** Whether it will not return any more. */
    fun isOver(now: Timestamp): Boolean = now - returnAt > MAX_DELAY

    private companion object {
        val MAX_DELAY = 10.seconds
    }
}
