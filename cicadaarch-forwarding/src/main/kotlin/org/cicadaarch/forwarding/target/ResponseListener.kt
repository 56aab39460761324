package org.cicadaarch.forwarding.target

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.cicadaarch.forwarding.format.ResponseMetadata

/**
 * Is told how an attempt on a target goes; after [onComplete] or [onFailure] nothing more comes.
 */
internal interface ResponseListener {
    /** The head of the answer came. */
    fun onHead(response: HttpResponse, metadata: ResponseMetadata)

    /** A part of the body came; the buffer is the listener's to release. */
    fun onContent(content: ByteBuf)

    /** The whole answer came. */
    fun onComplete()

    /** No whole answer will come, for [reason]. */
    fun onFailure(reason: String)
}
