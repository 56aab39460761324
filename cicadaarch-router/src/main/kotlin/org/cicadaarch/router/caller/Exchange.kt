package org.cicadaarch.router.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.Future
import java.nio.charset.StandardCharsets
import java.util.concurrent.TimeUnit
import org.cicadaarch.forwarding.stream.EventStreamSplitter
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.protocol.ClientHeaders
import org.cicadaarch.protocol.TargetHeaders
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.request.RefusalReason
import org.cicadaarch.router.observation.RequestTrace
import org.cicadaarch.router.target.TargetAnswerListener
import org.cicadaarch.router.target.TargetCall
import org.cicadaarch.router.target.TargetClient
import org.cicadaarch.router.target.TargetRequest

/**
 * One open request between its caller and the targets of its attempts. All calls come on the caller's event loop.
 *
 * Only the current attempt writes to the caller; what comes from an earlier one is dropped and counted.
 */
class Exchange(
    val request: CallerRequest,
    private val kind: ServiceKind,
    private val caller: CallerAnswer,
    private val targets: TargetClient,
    private val trace: RequestTrace,
    private val observer: ExchangeObserver,
    private val submit: (IngressEvent) -> Unit,
) {
    private var current: AttemptAnswer? = null
    private var answerBegun = false
    private var delivered = 0
    private var ended = false
    private var progressTimer: Future<*>? = null

    /** Offers the request to the target at [address]. */
    fun startAttempt(attempt: AttemptId, address: RouterAddress, resumeAfter: Int) {
        if (ended) return
        current?.cancel()
        val answer = AttemptAnswer(attempt, resumed = resumeAfter > 0)
        current = answer
        trace.attemptStarted(attempt, address)
        val targetRequest = TargetRequest(
            address = address,
            method = request.method,
            path = request.path,
            headers = targetHeaders(attempt, resumeAfter),
            body = request.body,
            repeatable = request.head.idempotency is Idempotency.Idempotent,
        )
        answer.call = targets.send(caller.eventLoop, targetRequest, answer)
        watchProgress(answer)
    }

    /** Gives up [attempt]; the target sees its connection close. */
    fun cancelAttempt(attempt: AttemptId) {
        current?.takeIf { it.attempt == attempt }?.let {
            it.cancel()
            current = null
        }
    }

    /** Tells the caller how the request ended and frees everything. */
    fun end(outcome: Outcome, reason: RefusalReason?) {
        if (ended) return
        ended = true
        progressTimer?.cancel(false)
        val answer = current
        when {
            outcome == Outcome.COMPLETED && answer != null -> answer.finish()
            answerBegun -> caller.abort(closingEvent(outcome, reason, answer?.attempt))
            else -> caller.error(CallerError.of(outcome, reason ?: RefusalReason.TARGET_FAILED), request.head.id)
        }
        answer?.cancel()
        current = null
        trace.ended(outcome, reason)
        observer.onEnded(request.head, outcome, reason)
        request.body.release()
    }

    /** The caller's connection can take more, or not. */
    fun onCallerWritable(writable: Boolean) {
        current?.call?.setReading(writable)
    }

    /** The caller closed its connection. */
    fun onCallerGone() {
        if (!ended) submit(IngressEvent.ClientDisconnected(request.head.id))
    }

    private fun targetHeaders(attempt: AttemptId, resumeAfter: Int): HttpHeaders {
        val headers = DefaultHttpHeaders()
        request.headers.forEach { (name, value) -> if (name.lowercase() !in PRIVATE_HEADERS) headers.add(name, value) }
        headers[TargetHeaders.REQUEST] = attempt.request.value
        headers[TargetHeaders.ATTEMPT] = attempt.number
        headers[TargetHeaders.PRIORITY] = request.head.priority.name.lowercase()
        if (resumeAfter > 0) headers[TargetHeaders.RESUME_OFFSET] = resumeAfter
        trace.inject(headers)
        return headers
    }

    /** A caller that reads slowly must not look like a silent target, so its pauses count as progress. */
    private fun watchProgress(answer: AttemptAnswer) {
        progressTimer?.cancel(false)
        progressTimer = caller.eventLoop.scheduleAtFixedRate(
            {
                if (current === answer && (answer.takeProgress() || !caller.isWritable)) {
                    submit(IngressEvent.Progressed(answer.attempt, delivered))
                }
            },
            PROGRESS_INTERVAL_MILLISECONDS,
            PROGRESS_INTERVAL_MILLISECONDS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun closingEvent(outcome: Outcome, reason: RefusalReason?, attempt: AttemptId?): ByteBuf? {
        if (!caller.isEventStream) return null
        val text = buildString {
            append("event: outcome\ndata: {\"outcome\":\"").append(outcome.label).append('"')
            if (reason != null) append(",\"reason\":\"").append(reason.label).append('"')
            if (attempt != null) append(",\"attempt\":").append(attempt.number)
            append("}\n\n")
        }
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)
    }

    /** The answer of one attempt: held until it is whole, or passed on event by event. */
    private inner class AttemptAnswer(val attempt: AttemptId, private val resumed: Boolean) : TargetAnswerListener {
        var call: TargetCall? = null
        private var response: HttpResponse? = null
        private var splitter: EventStreamSplitter? = null
        private var doneSeen = false
        private var tokensSeen = false
        private var progressed = false
        private val held = Unpooled.compositeBuffer(MAXIMUM_HELD_PARTS)
        private var rejected = false

        fun takeProgress(): Boolean = progressed.also { progressed = false }

        override fun onHead(response: HttpResponse) {
            if (isStale()) return
            progressed = true
            this.response = response
            rejected = kind == ServiceKind.MODEL && response.status() in REJECTIONS
            val type = response.headers()[HttpHeaderNames.CONTENT_TYPE].orEmpty()
            if (type.startsWith(HttpHeaderValues.TEXT_EVENT_STREAM.toString())) splitter = EventStreamSplitter()
        }

        override fun onContent(content: ByteBuf) {
            if (isStale() || rejected) {
                content.release()
                return
            }
            progressed = true
            val events = splitter
            if (events != null) {
                events.add(content).forEach(::passOn)
            } else {
                held.addComponent(true, content)
                if (held.readableBytes() > MAXIMUM_HELD_BYTES) passOnHeld()
            }
            if (!caller.isWritable) call?.setReading(false)
        }

        override fun onCompleted() {
            when {
                isStale() -> Unit
                rejected -> fail(AttemptFailure.Rejected(checkNotNull(response).status().code()))
                isTruncated() -> fail(AttemptFailure.ConnectionLost)
                else -> submit(IngressEvent.AttemptCompleted(attempt))
            }
        }

        override fun onFailed(failure: AttemptFailure) {
            if (!isStale()) fail(failure)
        }

        /** Writes what was held, and the end of the answer. */
        fun finish() {
            val head = checkNotNull(response) { "attempt $attempt completed without a head" }
            if (answerBegun) {
                if (held.isReadable) caller.write(held.readRetainedSlice(held.readableBytes()))
                caller.finish(closingEvent(Outcome.COMPLETED, reason = null, attempt = attempt))
            } else {
                observer.onAnswerBegun(request.head)
                if (kind == ServiceKind.MODEL) PromptUsage.find(held)?.let { observer.onUsage(request.head, it) }
                caller.whole(head.status(), answerHeaders(head, Outcome.COMPLETED), held.retainedDuplicate())
            }
        }

        fun cancel() {
            call?.cancel()
            splitter?.close()
            splitter = null
            if (held.refCnt() > 0) held.release()
        }

        private fun fail(failure: AttemptFailure) {
            trace.attemptFailed(attempt, failure)
            observer.onAttemptFailed(request.head, attempt, failure)
            submit(IngressEvent.AttemptFailed(attempt, failure, delivered))
        }

        /** Model engines end each stream with a mark of its own; other streams end with their connection. */
        private fun isTruncated(): Boolean = kind == ServiceKind.MODEL && splitter != null && !doneSeen

        private fun isStale(): Boolean {
            if (current === this && !ended) return false
            observer.onStaleAnswer(attempt)
            return true
        }

        private fun passOn(event: ByteBuf) {
            val isToken = event.contains(TOKEN_MARK)
            if (event.contains(DONE_MARK)) doneSeen = true
            val isPreamble = !tokensSeen && !isToken && !doneSeen
            if (resumed && isPreamble) {
                event.release()
                return
            }
            if (!isToken) PromptUsage.find(event)?.let { observer.onUsage(request.head, it) }
            begin()
            if (isToken) {
                tokensSeen = true
                delivered++
            }
            caller.write(event)
        }

        private fun passOnHeld() {
            begin()
            caller.write(held.readRetainedSlice(held.readableBytes()))
        }

        private fun begin() {
            if (answerBegun) return
            answerBegun = true
            trace.answerBegun()
            observer.onAnswerBegun(request.head)
            val head = checkNotNull(response) { "attempt $attempt has content without a head" }
            caller.begin(head.status(), answerHeaders(head, outcome = null), isEventStream = splitter != null)
            submit(IngressEvent.ResponseStarted(attempt))
        }

        private fun answerHeaders(head: HttpResponse, outcome: Outcome?): HttpHeaders {
            val headers = DefaultHttpHeaders()
            head.headers().forEach { (name, value) ->
                if (name.lowercase() !in HOP_BY_HOP_HEADERS) headers.add(name, value)
            }
            headers[ClientHeaders.REQUEST] = attempt.request.value
            headers[ClientHeaders.ATTEMPT] = attempt.number
            if (outcome != null) headers[ClientHeaders.OUTCOME] = outcome.label
            return headers
        }

        private fun ByteBuf.contains(mark: ByteBuf): Boolean = ByteBufUtil.indexOf(mark, this) >= 0
    }

    private companion object {
        const val PROGRESS_INTERVAL_MILLISECONDS = 500L
        const val MAXIMUM_HELD_BYTES = 262_144
        const val MAXIMUM_HELD_PARTS = 64

        /** Engines answer with these before they start a request. */
        val REJECTIONS = setOf(HttpResponseStatus.TOO_MANY_REQUESTS, HttpResponseStatus.SERVICE_UNAVAILABLE)
        val TOKEN_MARK: ByteBuf = mark("\"content\":\"")
        val DONE_MARK: ByteBuf = mark("data: [DONE]")
        val HOP_BY_HOP_HEADERS =
            setOf("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te")

        /** Not sent on to targets: the caller's secret, and what the router sets itself. */
        val PRIVATE_HEADERS = HOP_BY_HOP_HEADERS + setOf("authorization", "host", "expect", "traceparent", "tracestate")

        private fun mark(text: String): ByteBuf =
            Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII))
    }
}
