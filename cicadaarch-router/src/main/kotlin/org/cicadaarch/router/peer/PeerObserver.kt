package org.cicadaarch.router.peer

import org.cicadaarch.core.PeerMessage

/**
 * Hears the traffic between routers, for metrics. Sizes are in bytes and include the frame's length field.
 */
interface PeerObserver {
    /** A message was written. */
    fun onSent(message: PeerMessage, bytes: Int)

    /** A message was read. */
    fun onReceived(message: PeerMessage, bytes: Int)

    /** A message could not be sent. */
    fun onDropped(message: PeerMessage)
}
