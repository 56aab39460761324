package org.cicadaarch.store

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult

/**
 * Handles the response stream of a watch: waits for the first change and then closes the connection.
 *
 * The store has [confirmationTimeout] to confirm the watch. A confirmed watch without a change ends at the timeout of
 * the command.
 */
internal class EtcdWatchHandler(
    private val command: StoreCommand.AwaitChange,
    private val confirmationTimeout: Duration,
    private val onResult: (StoreResult) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private val line = ByteArrayOutputStream()
    private var isConfirmed = false
    private var isEnded = false

    override fun channelActive(context: ChannelHandlerContext) {
        schedule(context, command.timeout) { end(context, if (isConfirmed) noChange() else confirmationTimedOut()) }
        schedule(context, confirmationTimeout) { if (!isConfirmed) end(context, confirmationTimedOut()) }
        context.fireChannelActive()
    }

    override fun channelRead0(context: ChannelHandlerContext, part: HttpObject) {
        when {
            part.decoderResult().isFailure -> end(context, StoreResult.Unanswered("malformed HTTP response"))

            part is HttpResponse && part.status() != HttpResponseStatus.OK ->
                end(context, StoreResult.Refused("watch failed with status ${part.status()}"))
        }
        if (part is HttpContent) readContent(context, part)
        if (part is LastHttpContent) end(context, StoreResult.Unanswered("watch stream ended"))
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) end(context, StoreResult.Unanswered("connection closed"))
        super.userEventTriggered(context, event)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        end(context, StoreResult.Unanswered("connection closed"))
    }

    @Deprecated("Deprecated in Netty's ChannelHandler, still called for inbound failures.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        end(context, StoreResult.Unanswered(cause.toString()))
    }

    private fun readContent(context: ChannelHandlerContext, part: HttpContent) {
        part.content().forEachByte { byte ->
            if (byte == NEWLINE) handleLine(context) else line.write(byte.toInt())
            line.size() <= MAX_LINE_BYTES
        }
        if (line.size() > MAX_LINE_BYTES) end(context, StoreResult.Unanswered("watch message too long"))
    }

    private fun handleLine(context: ChannelHandlerContext) {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isBlank()) return
        UntrustedJson.decode(text) { platformJson.decodeFromString<WatchMessage>(it) }.fold(
            ifLeft = { end(context, StoreResult.Unanswered("malformed watch message: $it")) },
            ifRight = { handleMessage(context, it) },
        )
    }

    private fun handleMessage(context: ChannelHandlerContext, message: WatchMessage) {
        val result = message.result
        when {
            result == null -> end(context, StoreResult.Refused(message.error?.message ?: "empty watch message"))

            result.canceled -> end(
                context,
                StoreResult.Refused("watch canceled, compact revision ${result.compactRevision}"),
            )

            result.events.isNotEmpty() -> end(context, changes(result.events))

            result.created -> isConfirmed = true
        }
    }

    private fun changes(events: List<EtcdWatchEvent>): StoreResult = StoreResult.Values(
        values = events.map { it.toStoredValue() },
        revision = events.maxOf { it.keyValue.modifyRevision },
    )

    private fun noChange(): StoreResult = StoreResult.Values(values = emptyList(), revision = command.after.revision)

    private fun confirmationTimedOut(): StoreResult = StoreResult.Unanswered("watch not confirmed in time")

    private fun schedule(context: ChannelHandlerContext, delay: Duration, action: () -> Unit) {
        val timer = context.executor().schedule(action, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        context.channel().closeFuture().addListener { timer.cancel(false) }
    }

    private fun end(context: ChannelHandlerContext, result: StoreResult) {
        if (isEnded) return
        isEnded = true
        onResult(result)
        context.close()
    }

    private companion object {
        const val MAX_LINE_BYTES = 8 * 1024 * 1024
        const val NEWLINE = '\n'.code.toByte()
    }
}
