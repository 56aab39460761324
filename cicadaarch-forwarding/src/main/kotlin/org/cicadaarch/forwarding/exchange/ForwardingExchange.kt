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
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.RequestFailure
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.forwarding.client.ClientRequest
import org.cicadaarch.forwarding.client.ClientResponseWriter
import org.cicadaarch.forwarding.format.AttemptMetadata
import org.cicadaarch.forwarding.format.ResponseMetadata
import org.cicadaarch.forwarding.stream.EventStreamSplitter
import org.cicadaarch.forwarding.target.ResponseListener
import org.cicadaarch.forwarding.target.TargetConnection
import org.cicadaarch.forwarding.target.TargetKey
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * One client request and its response: sends the request to targets and relays the response to the client. The dispatch
 * reducer decides which target gets the request and what follows a failed attempt.
 */
internal class ForwardingExchange(val request: ClientRequest, private val client: ClientResponseWriter) {
    private var attempt: Attempt? = null
    private var bufferedResponse: BufferedResponse? = null
    private var lastEventId: String? = null
    private var isResponseStarted = false

    /** When the request was read in full. */
    val arrivedAt: Timestamp = NanoTimeClock.now()

    /** Details of the request, set before it is passed to the dispatch reducer. */
    lateinit var context: ExchangeContext

    /** Starts an attempt on the target that [effect] names. */
    fun send(effect: DispatchEffect.Send) {
        releaseBufferedResponse()
        val next = Attempt(effect)
        attempt = next
        context.attemptSent(effect)
        context.connectionPool.acquire(
            key = TargetKey.of(effect.target),
            requireFresh = context.dispatchRequest.route.retryPolicy == RetryPolicy.AT_MOST_ONCE,
            connectTimeout = effect.connectTimeout,
            onConnection = next::onConnected,
            onFailure = next::onConnectFailed,
        )
    }

    /** Aborts attempt [number] if it is the current one. */
    fun cancel(number: Int) {
        attempt?.takeIf { it.number == number }?.abort()
    }

    /** Sends the buffered response of the last attempt to the client. */
    fun deliver() {
        val response = checkNotNull(bufferedResponse) { "There is no buffered response to deliver." }
        bufferedResponse = null
        context.ended(response.status.code(), reason = null)
        response.freeMemory()
        client.respond(response.status, response.headers, response.body)
    }

    /** Ends the request with an error status, or closes the connection if the response has already started. */
    fun fail(failure: RequestFailure) {
        releaseBufferedResponse()
        if (isResponseStarted) {
            context.ended(status = null, failure.reason)
            client.abort()
            return
        }
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        val status = when (failure) {
            is RequestFailure.NotRun -> HttpResponseStatus.SERVICE_UNAVAILABLE
            is RequestFailure.MayHaveRun -> HttpResponseStatus.BAD_GATEWAY
            is RequestFailure.TimedOut -> HttpResponseStatus.GATEWAY_TIMEOUT
        }
        if (failure is RequestFailure.NotRun) {
            context.refused(failure)
            headers.set(
                HttpHeaderNames.RETRY_AFTER,
                RetryAfterHeader.text(failure.retryAfter),
            )
        }
        context.ended(status.code(), failure.reason)
        client.respond(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** Responds with [status] to a request that was not passed to the dispatch reducer. */
    fun refuse(status: HttpResponseStatus, retryAfter: Duration? = null) {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        if (retryAfter != null) headers.set(HttpHeaderNames.RETRY_AFTER, RetryAfterHeader.text(retryAfter))
        request.release()
        client.respond(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** The id of the request, or null if it was not passed to the dispatch reducer. */
    val requestId: String? get() = if (::context.isInitialized) context.requestId else null

    /** Ends the request after the client connection was closed for [reason]. */
    fun clientDisconnected(reason: String) {
        releaseBufferedResponse()
        context.submit(DispatchEvent.ClientDisconnected(context.dispatchRequest.id))
        context.ended(status = null, reason)
    }

    /** Pauses or resumes reading from the target, depending on whether the client keeps up. */
    fun clientWritabilityChanged(isWritable: Boolean) {
        attempt?.setAutoRead(isWritable)
    }

    private fun releaseBufferedResponse() {
        bufferedResponse?.run {
            body.release()
            freeMemory()
        }
        bufferedResponse = null
    }

    /** A complete response, whose [heldBytes] count until it is passed on. */
    private inner class BufferedResponse(
        val status: HttpResponseStatus,
        val headers: HttpHeaders,
        val body: ByteBuf,
        private val heldBytes: Int,
    ) {
        fun freeMemory() {
            context.responseMemory.resize(before = heldBytes, after = 0)
        }
    }

    private inner class Attempt(private val effect: DispatchEffect.Send) : ResponseListener {
        val number = effect.attempt
        private val target: TargetId = effect.target.id
        private var connection: TargetConnection? = null
        private var isFinished = false
        private var head: HttpResponse? = null
        private var metadata: ResponseMetadata? = null
        private var splitter: EventStreamSplitter? = null
        private var body: ByteBuf = Unpooled.buffer(0)
        private var heldBytes = 0
        private var lastProgressAt: Timestamp = NanoTimeClock.now()
        private var firstEventAt: Timestamp? = null
        private var isPaused = false
        private var isPauseReportScheduled = false
        private var sentAtLogicalTime = 0L
        private val deadline: Timestamp = NanoTimeClock.now() + effect.timeLeft

        /**
         * Sends the request on [opened], unless the client has left. Its close may wait unread behind its request, or
         * have arrived while the event loop was busy.
         */
        fun onConnected(opened: TargetConnection) = context.tasks.afterNextRead { sendUnlessFinished(opened) }

        private fun sendUnlessFinished(opened: TargetConnection) {
            val timeLeft = deadline - NanoTimeClock.now()
            when {
                isFinished -> context.connectionPool.release(opened)

                !opened.isAvailable -> onConnectFailed("connect: closed by the target")

                !timeLeft.isPositive() -> {
                    context.connectionPool.release(opened)
                    finish(AttemptResult.NotStarted("time-over", reachedTarget = false, isTargetAtFault = false))
                }

                else -> {
                    connection = opened
                    sentAtLogicalTime = context.quarantine.logicalTime
                    opened.send(targetRequest(timeLeft), context.requestId, this)
                }
            }
        }

        fun onConnectFailed(reason: String) {
            if (!isFinished) finish(AttemptResult.NotStarted(reason, reachedTarget = false, isTargetAtFault = true))
        }

        fun abort() {
            if (isFinished) return
            isFinished = true
            releaseBody()
            connection?.abort()
        }

        fun setAutoRead(isEnabled: Boolean) {
            if (isFinished) return
            connection?.setAutoRead(isEnabled)
            isPaused = !isEnabled
            if (isPaused) reportWhilePaused()
        }

        /** What the target sends is not read while the attempt is paused, so its silence says nothing about it. */
        private fun reportWhilePaused() {
            if (isPauseReportScheduled) return
            isPauseReportScheduled = true
            context.tasks.after(PAUSE_REPORT_INTERVAL) {
                isPauseReportScheduled = false
                if (isPaused && !isFinished) {
                    context.submit(DispatchEvent.DataReceived(context.dispatchRequest.id, number))
                    reportWhilePaused()
                }
            }
        }

        override fun onHead(response: HttpResponse, metadata: ResponseMetadata) {
            head = response
            this.metadata = metadata
            val isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS
            metadata.load?.let { context.loadReported(target, it) }
            metadata.notice?.let { context.submit(DispatchEvent.TargetNoticeReceived(effect.target, it)) }
            if (isFinished) return
            when {
                isSuccess && (!metadata.isSigned || response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) ->
                    abortAttempt("answer-not-of-target")

                isSuccess && isEventStream(response) -> splitter = EventStreamSplitter()
            }
        }

        private fun isEventStream(response: HttpResponse): Boolean {
            val contentType = HttpUtil.getMimeType(response) ?: EVENT_STREAM
            return context.dispatchRequest.route.isStream && contentType.contentEquals(EVENT_STREAM, ignoreCase = true)
        }

        override fun onContent(content: ByteBuf) {
            val events = splitter
            when {
                isFinished -> content.release()

                events != null -> {
                    events.add(content).forEach { writeEvent(it) }
                    if (!isFinished) holdBytes(events.bufferedBytes)
                }

                else -> {
                    body.writeBytes(content)
                    content.release()
                    holdBytes(body.readableBytes())
                }
            }
        }

        override fun onComplete() {
            if (isFinished) return
            val response = checkNotNull(head) { "The response ended before its head was received." }
            val responseMetadata = checkNotNull(metadata)
            val status = response.status()
            when {
                responseMetadata.isNotStarted -> finish(
                    AttemptResult.NotStarted(
                        reason = "target-refused-${status.code()}",
                        reachedTarget = true,
                        isTargetAtFault = status == HttpResponseStatus.MISDIRECTED_REQUEST,
                    ),
                )

                status.code() in REFUSAL_STATUSES -> finish(AttemptResult.Broken("unproved-refusal-${status.code()}"))

                splitter != null -> finishStream(status)

                else -> {
                    if (status.codeClass() == HttpStatusClass.SUCCESS) recordSuccess()
                    bufferedResponse = BufferedResponse(status, responseHeaders(response), body, heldBytes)
                    body = Unpooled.EMPTY_BUFFER
                    heldBytes = 0
                    finish(AttemptResult.Answered(status.code(), isDelivered = false))
                }
            }
        }

        override fun onFailure(reason: String, isConnectionLost: Boolean) {
            if (isFinished) return
            val mayHaveCrashedTarget = isConnectionLost && mayBeStarting() &&
                context.quarantine.attemptLost(effect.target, context.dispatchRequest.traits, sentAtLogicalTime)
            finish(AttemptResult.Broken(reason, mayHaveCrashedTarget))
        }

        /** A request that crashes targets does so when they begin to respond to it, not in the middle of a stream. */
        private fun mayBeStarting(): Boolean =
            firstEventAt.let { it == null || NanoTimeClock.now() - it < RESPONSE_START_TIME }

        private fun recordSuccess() =
            context.quarantine.attemptCompleted(context.dispatchRequest.traits, sentAtLogicalTime)

        private fun finishStream(status: HttpResponseStatus) {
            val events = checkNotNull(splitter)
            if (events.isInsideEvent) return finish(AttemptResult.Broken("incomplete-event"))
            val lineEnds = events.takeRemainder()
            if (lineEnds.isReadable) writeEvent(lineEnds) else lineEnds.release()
            if (!isResponseStarted) startResponse()
            recordSuccess()
            val result = AttemptResult.Answered(status.code(), isDelivered = true)
            isFinished = true
            releaseBody()
            context.attemptEnded(number, target, result)
            context.ended(status.code(), reason = null)
            client.endResponse()
            context.submit(DispatchEvent.AttemptEnded(context.dispatchRequest.id, number, result))
        }

        private fun writeEvent(event: ByteBuf) {
            if (!isResponseStarted) startResponse()
            if (firstEventAt == null) firstEventAt = NanoTimeClock.now()
            if (context.dispatchRequest.route.retryPolicy == RetryPolicy.RESUMABLE) {
                EventIdParser.parse(event)?.let { lastEventId = it }
            }
            client.writeContent(event)
            if (!client.isWritable) setAutoRead(false)
            val now = NanoTimeClock.now()
            if (now - lastProgressAt >= PROGRESS_INTERVAL) {
                lastProgressAt = now
                context.submit(DispatchEvent.DataReceived(context.dispatchRequest.id, number))
            }
        }

        private fun startResponse() {
            val response = checkNotNull(head)
            isResponseStarted = true
            client.startResponse(response.status(), responseHeaders(response))
            context.responseStarted()
            context.submit(DispatchEvent.ResponseStarted(context.dispatchRequest.id, number))
        }

        private fun responseHeaders(response: HttpResponse): HttpHeaders = response.headers().also {
            HopByHopHeaders.removeFrom(it)
            context.format.removeInternalHeaders(it)
        }

        /** Records that [bytes] of the response wait to be passed on, and aborts the attempt if that is too much. */
        private fun holdBytes(bytes: Int) {
            val isWithinLimit = context.responseMemory.resize(before = heldBytes, after = bytes)
            if (isWithinLimit) heldBytes = bytes else abortAttempt("answer-too-large")
        }

        private fun abortAttempt(reason: String) {
            connection?.abort()
            finish(AttemptResult.Broken(reason))
        }

        private fun finish(result: AttemptResult) {
            isFinished = true
            releaseBody()
            context.attemptEnded(number, target, result)
            context.submit(DispatchEvent.AttemptEnded(context.dispatchRequest.id, number, result))
        }

        private fun releaseBody() {
            splitter?.close()
            splitter = null
            if (bufferedResponse?.body !== body) body.release()
            body = Unpooled.EMPTY_BUFFER
            context.responseMemory.resize(before = heldBytes, after = 0)
            heldBytes = 0
        }

        private fun targetRequest(timeLeft: Duration): DefaultFullHttpRequest {
            val headers = request.headers.copy()
            HopByHopHeaders.removeFrom(headers)
            context.format.writeAttempt(
                headers,
                AttemptMetadata(
                    target = target,
                    account = context.account?.id,
                    timeLeft = timeLeft,
                    priority = context.dispatchRequest.priority,
                    lastEventId = lastEventId ?: context.requestedLastEventId,
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
        const val EVENT_STREAM = "text/event-stream"
        val PROGRESS_INTERVAL = 100.milliseconds

        /** Shorter than the silence after which a target passes for unresponsive. */
        val PAUSE_REPORT_INTERVAL = 300.milliseconds

        /** From the first event of a stream until the loss of its connection, if the request is the reason for that. */
        val RESPONSE_START_TIME = 1.seconds

        /**
         * Statuses with which a target refuses a request without running it. Only a response with the not-started mark
         * proves that; without it, the attempt counts as broken.
         */
        val REFUSAL_STATUSES = setOf(408, 421, 429, 503)
    }
}
