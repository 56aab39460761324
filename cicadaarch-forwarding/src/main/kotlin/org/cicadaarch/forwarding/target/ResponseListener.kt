package org.cicadaarch.forwarding.target

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.cicadaarch.forwarding.format.ResponseMetadata

/**
 * Receives the response to an attempt on a target. Nothing is called after [onComplete] or [onFailure].
 */
internal interface ResponseListener {
    /** The head of the response was received. */
    fun onHead(response: HttpResponse, metadata: ResponseMetadata)

    /** A part of the body was received. The listener must release [content]. */
    fun onContent(content: ByteBuf)

    /** The response was received in full. */
    fun onComplete()

    /**
     * The response will not be received in full, for [reason]. [isConnectionLost] tells whether the connection ended
     * without this router closing it.
     */
    fun onFailure(reason: String, isConnectionLost: Boolean)
}
