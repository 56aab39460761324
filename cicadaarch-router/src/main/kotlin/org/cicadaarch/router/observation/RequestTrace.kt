package org.cicadaarch.router.observation

import io.netty.handler.codec.http.HttpHeaders
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapPropagator
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.request.RefusalReason

/**
 * The spans of one request: the whole request, the wait for a permit, and each attempt on a target.
 */
class RequestTrace(private val tracer: Tracer, private val propagator: TextMapPropagator, private val request: Span) {
    private val context: Context = request.storeInContext(Context.root())
    private var permit: Span? = tracer.spanBuilder("permit").setParent(context).startSpan()
    private var attempt: Span? = null

    /** The trace's identity in hexadecimal, all zeros when tracing is off. */
    val traceId: String get() = request.spanContext.traceId

    /** An attempt is offered to the target at [address]. */
    fun attemptStarted(id: AttemptId, address: RouterAddress) {
        permit?.end()
        permit = null
        attempt?.end()
        attempt = tracer.spanBuilder("attempt")
            .setParent(context)
            .setAttribute("attempt.number", id.number.toLong())
            .setAttribute("server.address", address.toString())
            .startSpan()
    }

    /** The first byte of the answer goes to the caller. */
    fun answerBegun() {
        attempt?.addEvent("answer-begun")
    }

    /** The attempt failed; another may follow. */
    fun attemptFailed(id: AttemptId, failure: AttemptFailure) {
        attempt?.setStatus(StatusCode.ERROR, "$id $failure")?.end()
        attempt = null
        permit = tracer.spanBuilder("permit").setParent(context).startSpan()
    }

    /** The request ended. */
    fun ended(outcome: Outcome, reason: RefusalReason?) {
        permit?.end()
        attempt?.end()
        request.setAttribute("outcome", outcome.label)
        reason?.let { request.setAttribute("reason", it.label) }
        request.end()
    }

    /** Adds the trace context to the headers of a request to a target. */
    fun inject(headers: HttpHeaders) {
        val span = attempt ?: request
        propagator.inject(span.storeInContext(Context.root()), headers) { carrier, name, value ->
            carrier?.set(name, value)
        }
    }
}
