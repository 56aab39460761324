package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import org.cicadaarch.dispatch.quarantine.QuarantineRule
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.dispatch.target.TargetNotice
import org.cicadaarch.model.TargetId

/**
 * An action that [DispatchReducer] asks for.
 */
sealed class DispatchEffect {
    /**
     * Send the request to [target], which has [timeLeft] to respond and may copy the cache of the prompt from
     * [cacheSource]. A new connection must be established within [connectTimeout]. [estimatedLoad] is the load of
     * [target] at its selection, by a report of age [loadReportAge], null if there is none; [loadBound] is the load
     * that it should not exceed. A target that is still warming up does so for [warmUpRemaining].
     */
    data class Send(
        val id: ExchangeId,
        val attempt: Int,
        val target: TargetEntry,
        val timeLeft: Duration,
        val connectTimeout: Duration,
        val estimatedLoad: Double,
        val loadBound: Double,
        val loadReportAge: Duration? = null,
        val cacheSource: TargetEntry? = null,
        val warmUpRemaining: Duration? = null,
    ) : DispatchEffect()

    /** Cancel the attempt at its target. */
    data class Cancel(val id: ExchangeId, val attempt: Int) : DispatchEffect()

    /** Report to operators that [target] is ejected for [duration] after [failures] failures in a row. */
    data class TargetEjected(val target: TargetId, val duration: Duration, val failures: Int) : DispatchEffect()

    /** Report to operators that [notice] of [target] changed what is known of it. */
    data class TargetNoticeTaken(val target: TargetEntry, val notice: TargetNotice) : DispatchEffect()

    /** Report that request [id] is refused because of [rule]. */
    data class RequestHeldBack(val id: ExchangeId, val rule: QuarantineRule) : DispatchEffect()

    /** Deliver the complete response of the last attempt to the client. */
    data class Deliver(val id: ExchangeId) : DispatchEffect()

    /** End the request without a complete response, because of [failure]. */
    data class Fail(val id: ExchangeId, val failure: RequestFailure) : DispatchEffect()
}
