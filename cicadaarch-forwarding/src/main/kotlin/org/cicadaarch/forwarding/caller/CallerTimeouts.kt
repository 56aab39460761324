package org.cicadaarch.forwarding.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.model.Timestamp

/**
 * Limits how long a caller may take for a request and how long its connection may be idle, by the limits in force at
 * the moment: a longer idle time that comes into force applies to connections that are idle already.
 */
internal class CallerTimeouts(private val listener: CallerListener, private val handler: CallerHandler) :
    ChannelInboundHandlerAdapter() {
    private var phase = Phase.IDLE
    private var since: Timestamp = EventLoopClock.now()
    private var idleTimeAtStart: Duration = Duration.ZERO
    private var timer: ScheduledFuture<*>? = null

    /** The head of a request came. */
    fun headRead() = enter(Phase.BODY)

    /** The whole request came. */
    fun requestRead() = enter(Phase.ANSWERING)

    /** The request was answered. */
    fun requestDone() = enter(Phase.IDLE)

    override fun channelActive(context: ChannelHandlerContext) {
        enter(Phase.IDLE)
        timer = schedule(context, listener.limits.headerTimeout)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when (phase) {
            Phase.IDLE -> enter(Phase.HEAD)
            Phase.BODY -> since = EventLoopClock.now()
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
        since = EventLoopClock.now()
        idleTimeAtStart = listener.limits.idleTimeout
    }

    private fun check(context: ChannelHandlerContext) {
        val allowed = when (phase) {
            Phase.IDLE, Phase.BODY -> maxOf(idleTimeAtStart, listener.limits.idleTimeout)
            Phase.HEAD, Phase.ANSWERING -> listener.limits.headerTimeout
        }
        val left = allowed - (EventLoopClock.now() - since)
        when {
            phase == Phase.ANSWERING -> timer = schedule(context, allowed)
            left.isPositive() -> timer = schedule(context, minOf(left, listener.limits.headerTimeout))
            phase == Phase.IDLE -> context.close()
            else -> handler.refuse(HttpResponseStatus.REQUEST_TIMEOUT)
        }
    }

    private fun schedule(context: ChannelHandlerContext, delay: Duration): ScheduledFuture<*> =
        context.executor().schedule({ check(context) }, delay.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)

    private enum class Phase { IDLE, HEAD, BODY, ANSWERING }
}
