package org.cicadaarch.forwarding.exchange

import java.util.Locale
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.routing.ClientAccount
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.forwarding.observation.LatencyPhase
import org.cicadaarch.forwarding.target.TargetConnectionPool
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.TargetId

/**
 * What an exchange needs to know, and whom it tells what happens.
 */
internal class ExchangeContext(
    val dispatchRequest: DispatchRequest,
    val requestId: String,
    val account: ClientAccount?,
    val requestedLastEventId: String?,
    val configurationVersion: Long,
    val connectionPool: TargetConnectionPool,
    val format: HeaderFormat,
    private val metrics: ForwardingMetrics,
    val submit: (DispatchEvent) -> Unit,
    private val onEnd: (ForwardingExchange) -> Unit,
    private val exchange: ForwardingExchange,
) {
    private val startedAt = NanoTimeClock.now()
    private var lastTarget: TargetId? = null
    private var attempts = 0
    private var firstPartMillis: Long? = null

    /** The first part of an answer was given to the caller. */
    fun responseStarted() {
        firstPartMillis = elapsedMillis()
        metrics.recordDuration(dispatchRequest.route, LatencyPhase.FIRST_PART, NanoTimeClock.now() - startedAt)
    }

    /** An attempt is sent; what decided its target is logged. */
    fun attemptSent(send: DispatchEffect.Send) {
        attempts = send.attempt
        lastTarget = send.target.id
        LogEvents.info("attempt-sent") {
            "request" to requestId
            "attempt" to send.attempt
            "target" to send.target.id
            "load" to "%.1f".format(Locale.ROOT, send.estimatedLoad)
            "slots" to send.target.slots
            "prompt" to dispatchRequest.promptKey
            "cacheSource" to send.cacheSource?.id
            "millisLeft" to send.timeLeft.inWholeMilliseconds
        }
    }

    /** An attempt ended with [result]; failures are logged. */
    fun attemptEnded(number: Int, target: TargetId, result: AttemptResult) {
        metrics.recordAttempt(dispatchRequest.service, result)
        if (result is AttemptResult.Answered) return
        LogEvents.info("attempt-failed") {
            "request" to requestId
            "attempt" to number
            "target" to target
            "result" to result
            "millis" to elapsedMillis()
        }
    }

    /** The request ended with [status] towards the caller, null if its connection was closed, for [reason]. */
    fun ended(status: Int?, reason: String?) {
        metrics.recordRequest(dispatchRequest.service, status, reason)
        metrics.recordDuration(dispatchRequest.route, LatencyPhase.WHOLE, NanoTimeClock.now() - startedAt)
        LogEvents.info("request-ended") {
            "request" to requestId
            "route" to dispatchRequest.route.name
            "version" to configurationVersion
            "service" to dispatchRequest.service
            "account" to account?.id
            "target" to lastTarget
            "attempts" to attempts
            "status" to status
            "reason" to reason
            "firstPartMillis" to firstPartMillis
            "millis" to elapsedMillis()
        }
        onEnd(exchange)
    }

    private fun elapsedMillis(): Long = (NanoTimeClock.now() - startedAt).inWholeMilliseconds
}
