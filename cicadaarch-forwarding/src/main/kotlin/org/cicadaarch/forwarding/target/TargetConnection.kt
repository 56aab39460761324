package org.cicadaarch.forwarding.target

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.format.ResponseMetadata
import org.cicadaarch.model.Timestamp
import org.cicadaarch.store.framing.StrictResponseDecoder

/**
 * A connection to a target that carries one attempt at a time.
 *
 * Responses to other requests than the current one are skipped, up to [MAX_SKIPPED_BYTES]. A response that names no
 * request proves nothing: it is never taken as a refusal, and once the connection has carried another attempt, whose
 * response it may repeat, the current one fails. The connection is closed if it receives bytes beyond a response or
 * while it is idle, or if the response ends before the request was written in full. After a malformed response the
 * attempt fails as one that may have run, and nothing more is read from the connection.
 */
internal class TargetConnection(
    val key: TargetKey,
    private val format: HeaderFormat,
    private val decoder: StrictResponseDecoder,
    private val onIdle: (TargetConnection) -> Unit,
    private val onClosed: (TargetConnection) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>(HttpObject::class.java, false) {
    private lateinit var context: ChannelHandlerContext
    private var attempt: RunningAttempt? = null
    private var advertisedIdleTimeout: Duration? = null
    private var hasCarriedAttempt = false

    /** When the last response ended, or else when the connection was created. */
    var idleSince: Timestamp = NanoTimeClock.now()
        private set

    /** Whether the connection can carry another attempt. */
    val isAvailable: Boolean get() = context.channel().isActive && attempt == null

    /** How long the target keeps the connection open while it is idle. */
    val idleTimeout: Duration get() = advertisedIdleTimeout ?: DEFAULT_IDLE_TIMEOUT

    /** Sends [request], which the client gave [requestId], and reports the response to [listener]. */
    fun send(request: FullHttpRequest, requestId: String?, listener: ResponseListener) {
        check(attempt == null) { "The connection already carries an attempt." }
        val written = context.newPromise()
        attempt = RunningAttempt(requestId, listener, written)
        decoder.awaitsResponseToHead = request.method() == HttpMethod.HEAD
        context.writeAndFlush(request, written)
    }

    /** Closes the connection without notifying the listener of the attempt. */
    fun abort() {
        attempt = null
        context.close()
    }

    /** Closes an idle connection. */
    fun close() {
        context.close()
    }

    /** Enables or disables reading, so that the target does not send faster than the client receives. */
    fun setAutoRead(isEnabled: Boolean) {
        context.channel().config().isAutoRead = isEnabled
    }

    /**
     * Counts [bytes] that have arrived. Returns false and closes the connection if it is idle, or if too many arrived
     * without being part of the awaited response.
     */
    fun acceptBytes(bytes: Int): Boolean {
        val running = attempt
        if (running == null) {
            context.close()
            return false
        }
        if (running.phase == ResponsePhase.READING) return true
        running.skippedBytes += bytes
        if (running.skippedBytes <= MAX_SKIPPED_BYTES) return true
        fail("answer-missing-in-bytes")
        return false
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead0(context: ChannelHandlerContext, part: HttpObject) {
        val running = attempt
        when {
            running == null -> context.close()
            part.decoderResult().isFailure -> fail("malformed-answer: ${part.decoderResult().cause().message}")
            part is HttpResponse -> onResponseHead(running, part)
        }
        if (part is HttpContent) onContent(part)
    }

    /** The target has ended its side in order. A response that this completes was passed on before. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) fail("connection-closed", isConnectionLost = true)
        super.userEventTriggered(context, event)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        fail("connection-closed", isConnectionLost = true)
        onClosed(this)
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(cause.message ?: cause.javaClass.simpleName, isConnectionLost = cause is IOException)
    }

    private fun onResponseHead(running: RunningAttempt, response: HttpResponse) = format.readResponse(response).fold(
        ifLeft = { fail("malformed-answer: ${it.reason}") },
        ifRight = { onMetadata(running, response, it) },
    )

    private fun onMetadata(running: RunningAttempt, response: HttpResponse, metadata: ResponseMetadata) {
        when {
            response.status().codeClass() == HttpStatusClass.INFORMATIONAL -> running.phase = ResponsePhase.SKIPPING
            metadata.requestId == running.requestId -> readResponse(running, response, metadata)
            metadata.requestId != null -> running.phase = ResponsePhase.SKIPPING
            response.status() == HttpResponseStatus.OK -> running.phase = ResponsePhase.SKIPPING
            hasCarriedAttempt -> fail("answer-without-id")
            else -> readResponse(running, response, metadata.copy(isNotStarted = false))
        }
    }

    private fun readResponse(running: RunningAttempt, response: HttpResponse, metadata: ResponseMetadata) {
        running.phase = ResponsePhase.READING
        running.isReusable = HttpUtil.isKeepAlive(response) &&
            (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response))
        KeepAliveHeader.timeout(response.headers())?.let { advertisedIdleTimeout = it }
        running.listener.onHead(response, metadata)
    }

    private fun onContent(part: HttpContent) {
        val running = attempt
        if (running == null || running.phase != ResponsePhase.READING) {
            part.release()
            if (running != null && part is LastHttpContent) running.phase = ResponsePhase.WAITING
            return
        }
        val content = part.content()
        if (content.isReadable) running.listener.onContent(content) else content.release()
        if (part is LastHttpContent && attempt === running) finish(running)
    }

    private fun finish(running: RunningAttempt) {
        attempt = null
        hasCarriedAttempt = true
        idleSince = NanoTimeClock.now()
        val isReusable = running.isReusable && running.written.isSuccess && context.channel().isActive &&
            !decoder.hasUnreadBytes
        setAutoRead(true)
        running.listener.onComplete()
        if (isReusable) onIdle(this) else context.close()
    }

    private fun fail(reason: String, isConnectionLost: Boolean = false) {
        val running = attempt
        attempt = null
        context.close()
        running?.listener?.onFailure(reason, isConnectionLost)
    }

    private enum class ResponsePhase { WAITING, SKIPPING, READING }

    private class RunningAttempt(val requestId: String?, val listener: ResponseListener, val written: ChannelFuture) {
        var phase = ResponsePhase.WAITING
        var isReusable = false
        var skippedBytes = 0
    }

    private companion object {
        /** Several responses of the usual size to other requests, and what the socket passes on at once. */
        const val MAX_SKIPPED_BYTES = 256 * 1024

        /** Assumed for a target that does not state its idle timeout. */
        val DEFAULT_IDLE_TIMEOUT = 4.seconds
    }
}
