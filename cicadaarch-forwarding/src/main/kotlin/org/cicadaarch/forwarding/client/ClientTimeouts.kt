package org.cicadaarch.forwarding.client

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.model.Timestamp

/**
 * Enforces the limits on how long a client may take to send a request, how long it may take nothing of a response, and
 * how long its connection may be idle.
 *
 * Each check reads the limits then in force. A connection that is already idle gets a longer idle timeout from a new
 * configuration, but not a shorter one.
 */
internal class ClientTimeouts(private val listener: ClientListener, private val handler: ClientConnectionHandler) :
    ChannelInboundHandlerAdapter() {
    private var phase = Phase.IDLE
    private var lastActivityAt: Timestamp = NanoTimeClock.now()
    private var idleTimeoutAtStart: Duration = Duration.ZERO
    private var timer: ScheduledFuture<*>? = null
    private var unsentBytes = 0L

    /** The head of a request was read. */
    fun requestHeadRead() = enter(Phase.BODY)

    /** The whole request was read. */
    fun requestRead() = enter(Phase.RESPONDING)

    /** The response was handed over, though the client may not have taken all of it yet. */
    fun requestFinished() {
        enter(Phase.IDLE)
        unsentBytes = handler.unsentBytes
    }

    override fun channelActive(context: ChannelHandlerContext) {
        enter(Phase.IDLE)
        timer = schedule(context, listener.limits.headerTimeout)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when (phase) {
            Phase.IDLE -> enter(Phase.HEAD)
            Phase.BODY -> lastActivityAt = NanoTimeClock.now()
            else -> Unit
        }
        context.fireChannelRead(message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        context.fireChannelInactive()
    }

    private fun enter(next: Phase) {
        phase = next
        lastActivityAt = NanoTimeClock.now()
        idleTimeoutAtStart = listener.limits.idleTimeout
    }

    private fun check(context: ChannelHandlerContext) {
        if (phase == Phase.IDLE) noteProgressOfResponse()
        val timeout = when (phase) {
            Phase.IDLE, Phase.BODY -> maxOf(idleTimeoutAtStart, listener.limits.idleTimeout)
            Phase.HEAD, Phase.RESPONDING -> listener.limits.headerTimeout
        }
        val remaining = timeout - (NanoTimeClock.now() - lastActivityAt)
        when {
            phase == Phase.RESPONDING -> timer = schedule(context, timeout)
            remaining.isPositive() -> timer = schedule(context, minOf(remaining, listener.limits.headerTimeout))
            phase == Phase.IDLE -> context.close()
            else -> handler.refuse(HttpResponseStatus.REQUEST_TIMEOUT)
        }
    }

    /** A connection is not idle while its client takes the response, however slowly. */
    private fun noteProgressOfResponse() {
        val before = unsentBytes
        unsentBytes = handler.unsentBytes
        if (unsentBytes < before) lastActivityAt = NanoTimeClock.now()
    }

    private fun schedule(context: ChannelHandlerContext, delay: Duration): ScheduledFuture<*> =
        context.executor().schedule({ check(context) }, delay.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)

    private enum class Phase { IDLE, HEAD, BODY, RESPONDING }
}
