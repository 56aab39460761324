package org.cicadaarch.forwarding.http

import io.netty.channel.Channel
import java.net.InetSocketAddress
import org.cicadaarch.model.RouterAddress

/**
 * Reads which port the system picked for a server that was bound to port 0.
 */
internal object BoundAddress {
    /** The address at which [serverChannel] listens after it was bound to [requested]. */
    fun of(requested: RouterAddress, serverChannel: Channel): RouterAddress =
        RouterAddress(requested.host, (serverChannel.localAddress() as InetSocketAddress).port)
}
