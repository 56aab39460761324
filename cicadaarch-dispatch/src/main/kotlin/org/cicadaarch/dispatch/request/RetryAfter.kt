package org.cicadaarch.dispatch.request

import kotlin.time.Duration

/**
 * Spreads the return of clients that were refused until some time.
 */
internal object RetryAfter {
    private const val MAX_PRIORITY = 9

    /** Requests of equal priority return in so many turns. */
    private const val TURNS = 8L
    private const val MAX_SPREAD = 0.25

    /** Up to a quarter more than [duration]; the most urgent requests come first. */
    fun spread(duration: Duration, request: DispatchRequest): Duration {
        val turnInPriority = request.id.value.mod(TURNS) / TURNS.toDouble()
        val turn = (request.priority.coerceIn(0, MAX_PRIORITY) + turnInPriority) / (MAX_PRIORITY + 1)
        return duration * (1 + turn * MAX_SPREAD)
    }
}
