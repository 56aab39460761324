package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.TargetId

/**
 * What the dispatch wants done.
 */
sealed class DispatchEffect {
    /**
     * Send the request to [target], which may work on it for [timeLeft] and may copy what [cacheSource] keeps of its
     * prompt. [estimatedLoad] is the load by which the target was chosen.
     */
    data class Send(
        val id: ExchangeId,
        val attempt: Int,
        val target: TargetEntry,
        val timeLeft: Duration,
        val estimatedLoad: Double,
        val cacheSource: TargetEntry? = null,
    ) : DispatchEffect()

    /** Break off the attempt on its target. */
    data class Cancel(val id: ExchangeId, val attempt: Int) : DispatchEffect()

    /** Tell operators that [target] is passed over for [duration] after [failures] in a row. */
    data class TargetEjected(val target: TargetId, val duration: Duration, val failures: Int) : DispatchEffect()

    /** Give the caller the whole answer of the last attempt. */
    data class Deliver(val id: ExchangeId) : DispatchEffect()

    /** End the request without an answer of a target. */
    data class Fail(val id: ExchangeId, val failure: RequestFailure) : DispatchEffect()
}
