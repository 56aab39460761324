package org.cicadaarch.forwarding.target

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.cicadaarch.forwarding.format.ResponseMetadata

/**
 * Is told how an attempt on a target goes; after [ended] or [failed] nothing more comes.
 */
internal interface AnswerListener {
    /** The head of the answer came. */
    fun begun(response: HttpResponse, metadata: ResponseMetadata)

    /** A part of the body came; the buffer is the listener's to release. */
    fun received(content: ByteBuf)

    /** The whole answer came. */
    fun ended()

    /** No whole answer will come, for [reason]. */
    fun failed(reason: String)
}
