package org.cicadaarch.forwarding.exchange

import java.util.Locale
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.routing.ClientAccount
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.forwarding.observation.RequestPhase
import org.cicadaarch.forwarding.target.TargetConnections
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.TargetId

/**
 * What an exchange needs to know, and whom it tells what happens.
 */
internal class ExchangeContext(
    val dispatched: DispatchRequest,
    val requestId: String,
    val account: ClientAccount?,
    val resumesAfter: String?,
    val version: Long,
    val connections: TargetConnections,
    val format: HeaderFormat,
    private val metrics: ForwardingMetrics,
    val submit: (DispatchEvent) -> Unit,
    private val onEnd: (Exchange) -> Unit,
    private val exchange: Exchange,
) {
    private val begunAt = EventLoopClock.now()
    private var lastTarget: TargetId? = null
    private var attempts = 0
    private var firstPartMillis: Long? = null

    /** The first part of an answer was given to the caller. */
    fun delivering() {
        firstPartMillis = millis()
        metrics.took(dispatched.route, RequestPhase.FIRST_PART, EventLoopClock.now() - begunAt)
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
            "prompt" to dispatched.promptKey
            "cacheSource" to send.cacheSource?.id
            "millisLeft" to send.timeLeft.inWholeMilliseconds
        }
    }

    /** An attempt ended with [result]; failures are logged. */
    fun attemptEnded(number: Int, target: TargetId, result: AttemptResult) {
        metrics.attemptEnded(dispatched.service, result)
        if (result is AttemptResult.Answered) return
        LogEvents.info("attempt-failed") {
            "request" to requestId
            "attempt" to number
            "target" to target
            "result" to result
            "millis" to millis()
        }
    }

    /** The request ended with [status] towards the caller, null if its connection was closed, for [reason]. */
    fun ended(status: Int?, reason: String?) {
        metrics.ended(dispatched.service, status, reason)
        metrics.took(dispatched.route, RequestPhase.WHOLE, EventLoopClock.now() - begunAt)
        LogEvents.info("request-ended") {
            "request" to requestId
            "route" to dispatched.route.name
            "version" to version
            "service" to dispatched.service
            "account" to account?.id
            "target" to lastTarget
            "attempts" to attempts
            "status" to status
            "reason" to reason
            "firstPartMillis" to firstPartMillis
            "millis" to millis()
        }
        onEnd(exchange)
    }

    private fun millis(): Long = (EventLoopClock.now() - begunAt).inWholeMilliseconds
}
