package org.cicadaarch.forwarding.target

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Reports the number of bytes that arrive to [connection] before they are decoded, and drops those that it does not
 * accept.
 */
internal class ResponseByteCounter(private val connection: TargetConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val bytes = message as ByteBuf
        if (connection.acceptBytes(bytes.readableBytes())) context.fireChannelRead(bytes) else bytes.release()
    }
}
