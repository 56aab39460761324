package org.cicadaarch.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.RequestFailure
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.forwarding.caller.CallerLink
import org.cicadaarch.forwarding.caller.CallerRequest
import org.cicadaarch.forwarding.format.AttemptMetadata
import org.cicadaarch.forwarding.format.ResponseMetadata
import org.cicadaarch.forwarding.stream.EventStreamSplitter
import org.cicadaarch.forwarding.target.AnswerListener
import org.cicadaarch.forwarding.target.TargetConnection
import org.cicadaarch.forwarding.target.TargetKey
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * Moves the bytes of one request and its answer. Which target is asked, and what follows a failure, is decided by the
 * dispatch.
 */
internal class Exchange(val request: CallerRequest, private val caller: CallerLink) {
    private var attempt: Attempt? = null
    private var wholeAnswer: WholeAnswer? = null
    private var lastEventId: String? = null
    private var isDelivering = false

    /** When the request had been read. */
    val arrivedAt: Timestamp = EventLoopClock.now()

    /** What was found out about the request; set before the exchange is opened at the dispatch. */
    lateinit var context: ExchangeContext

    /** Sends the request to a target. */
    fun send(effect: DispatchEffect.Send) {
        dropAnswer()
        val next = Attempt(effect)
        attempt = next
        context.attemptSent(effect)
        context.connections.acquire(
            key = TargetKey.of(effect.target),
            mustBeSure = context.dispatched.route.retryPolicy == RetryPolicy.AT_MOST_ONCE,
            onOpen = next::connected,
            onFailure = next::notConnected,
        )
    }

    /** Breaks off the attempt with [number]. */
    fun cancel(number: Int) {
        attempt?.takeIf { it.number == number }?.abandon()
    }

    /** Gives the caller the whole answer of the last attempt. */
    fun deliver() {
        val answer = checkNotNull(wholeAnswer) { "There is no answer to deliver." }
        wholeAnswer = null
        context.ended(answer.status.code(), reason = null)
        caller.answer(answer.status, answer.headers, answer.body)
    }

    /** Ends the request without an answer of a target. */
    fun fail(failure: RequestFailure) {
        dropAnswer()
        if (isDelivering) {
            context.ended(status = null, failure.reason)
            caller.breakOff()
            return
        }
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        val status = when (failure) {
            is RequestFailure.NotRun -> HttpResponseStatus.SERVICE_UNAVAILABLE
            is RequestFailure.MayHaveRun -> HttpResponseStatus.BAD_GATEWAY
            is RequestFailure.TimedOut -> HttpResponseStatus.GATEWAY_TIMEOUT
        }
        if (failure is RequestFailure.NotRun) headers.set(HttpHeaderNames.RETRY_AFTER, seconds(failure.retryAfter))
        context.ended(status.code(), failure.reason)
        caller.answer(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** Refuses the request before it was given to the dispatch. */
    fun refuse(status: HttpResponseStatus, retryAfter: Duration? = null) {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        if (retryAfter != null) headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfter))
        request.body.release()
        caller.answer(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** The caller's connection was closed. */
    fun callerLeft() {
        dropAnswer()
        context.submit(DispatchEvent.ClientDisconnected(context.dispatched.id))
        context.ended(status = null, reason = "caller-left")
    }

    /** The caller reads again or does not keep up. */
    fun callerWritable(isWritable: Boolean) {
        attempt?.readMore(isWritable)
    }

    private fun dropAnswer() {
        wholeAnswer?.body?.release()
        wholeAnswer = null
    }

    private fun seconds(duration: Duration): String =
        "%.3f".format(java.util.Locale.ROOT, duration.inWholeMilliseconds / MILLISECONDS_PER_SECOND)

    private class WholeAnswer(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)

    private inner class Attempt(private val effect: DispatchEffect.Send) : AnswerListener {
        val number = effect.attempt
        private val target: TargetId = effect.target.id
        private var connection: TargetConnection? = null
        private var isOver = false
        private var head: HttpResponse? = null
        private var metadata: ResponseMetadata? = null
        private var splitter: EventStreamSplitter? = null
        private var body: ByteBuf = Unpooled.EMPTY_BUFFER
        private var progressedAt: Timestamp = EventLoopClock.now()

        fun connected(opened: TargetConnection) {
            if (isOver) {
                opened.close()
                return
            }
            connection = opened
            opened.send(outgoing(), context.requestId, this)
        }

        fun notConnected(reason: String) {
            if (!isOver) end(AttemptResult.NotStarted(reason, reachedTarget = false, isTargetAtFault = true))
        }

        fun abandon() {
            if (isOver) return
            isOver = true
            dropBody()
            connection?.abandon()
        }

        fun readMore(isWanted: Boolean) {
            if (!isOver) connection?.readMore(isWanted)
        }

        override fun begun(response: HttpResponse, metadata: ResponseMetadata) {
            head = response
            this.metadata = metadata
            val isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS
            metadata.load?.let { context.submit(DispatchEvent.LoadReported(target, it)) }
            if (isOver) return
            when {
                isSuccess && (!metadata.isSigned || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) ->
                    breakOff("answer-not-of-target")

                isSuccess && context.dispatched.route.isStream -> splitter = EventStreamSplitter()
            }
        }

        override fun received(content: ByteBuf) {
            val events = splitter
            when {
                isOver -> content.release()
                events != null -> events.add(content).forEach { deliverEvent(it) }
                else -> keep(content)
            }
        }

        override fun ended() {
            if (isOver) return
            val answer = checkNotNull(head) { "An answer ended before it began." }
            val told = checkNotNull(metadata)
            val status = answer.status()
            when {
                told.isNotStarted -> end(
                    AttemptResult.NotStarted(
                        reason = "target-refused-${status.code()}",
                        reachedTarget = true,
                        isTargetAtFault = status == HttpResponseStatus.MISDIRECTED_REQUEST,
                    ),
                )

                status.code() in REFUSAL_STATUSES -> end(AttemptResult.Broken("unproved-refusal-${status.code()}"))

                splitter != null -> streamEnded(status)

                else -> {
                    wholeAnswer = WholeAnswer(status, cleaned(answer), body)
                    body = Unpooled.EMPTY_BUFFER
                    end(AttemptResult.Answered(status.code(), isDelivered = false))
                }
            }
        }

        override fun failed(reason: String) {
            if (!isOver) end(AttemptResult.Broken(reason))
        }

        private fun streamEnded(status: HttpResponseStatus) {
            val rest = checkNotNull(splitter).takeRest()
            if (rest.isReadable) deliverEvent(rest) else rest.release()
            if (!isDelivering) beginDelivery()
            val result = AttemptResult.Answered(status.code(), isDelivered = true)
            isOver = true
            context.attemptEnded(number, target, result)
            context.ended(status.code(), reason = null)
            caller.end()
            context.submit(DispatchEvent.AttemptEnded(context.dispatched.id, number, result))
        }

        private fun deliverEvent(event: ByteBuf) {
            if (!isDelivering) beginDelivery()
            if (context.dispatched.route.retryPolicy == RetryPolicy.RESUMABLE) {
                EventId.of(event)?.let { lastEventId = it }
            }
            caller.write(event)
            if (!caller.isWritable) connection?.readMore(false)
            val now = EventLoopClock.now()
            if (now - progressedAt >= PROGRESS_INTERVAL) {
                progressedAt = now
                context.submit(DispatchEvent.DataReceived(context.dispatched.id, number))
            }
        }

        private fun beginDelivery() {
            val answer = checkNotNull(head)
            isDelivering = true
            caller.begin(answer.status(), cleaned(answer))
            context.delivering()
            context.submit(DispatchEvent.ResponseStarted(context.dispatched.id, number))
        }

        private fun cleaned(answer: HttpResponse): HttpHeaders = answer.headers().also {
            ConnectionHeaders.removeFrom(it)
            context.format.removeInternalHeaders(it)
        }

        private fun keep(content: ByteBuf) {
            body = if (body.isReadable) Unpooled.wrappedBuffer(body, content) else content
            if (body.readableBytes() > LARGEST_ANSWER) breakOff("answer-too-large")
        }

        private fun breakOff(reason: String) {
            connection?.abandon()
            end(AttemptResult.Broken(reason))
        }

        private fun end(result: AttemptResult) {
            isOver = true
            dropBody()
            context.attemptEnded(number, target, result)
            context.submit(DispatchEvent.AttemptEnded(context.dispatched.id, number, result))
        }

        private fun dropBody() {
            splitter?.close()
            splitter = null
            if (wholeAnswer?.body !== body) body.release()
            body = Unpooled.EMPTY_BUFFER
        }

        private fun outgoing(): DefaultFullHttpRequest {
            val headers = request.headers.copy()
            ConnectionHeaders.removeFrom(headers)
            context.format.writeAttempt(
                headers,
                AttemptMetadata(
                    target = target,
                    account = context.account?.id,
                    timeLeft = effect.timeLeft,
                    priority = context.dispatched.priority,
                    lastEventId = lastEventId ?: context.resumesAfter,
                    cacheSource = effect.cacheSource?.let { RouterAddress(it.host, it.port) },
                ),
            )
            if (request.body.isReadable) headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.body.readableBytes())
            return DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method,
                request.uri,
                request.body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val LARGEST_ANSWER = 16 * 1024 * 1024
        val PROGRESS_INTERVAL = 100.milliseconds

        /** Statuses that promise that the request did not run, which only a marked answer proves. */
        val REFUSAL_STATUSES = setOf(408, 421, 429, 503)
    }
}
