package org.cicadaarch.forwarding.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * The way back to the caller of one request.
 */
internal interface CallerLink {
    /** Whether the caller keeps up with what is written. */
    val isWritable: Boolean

    /** Answers with a whole [body], which is the link's to release, and ends the request. */
    fun answer(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf)

    /** Begins an answer in parts. */
    fun begin(status: HttpResponseStatus, headers: HttpHeaders)

    /** Writes a part of the answer that was begun; the buffer is the link's to release. */
    fun write(content: ByteBuf)

    /** Ends the answer that was begun. */
    fun end()

    /** Closes the connection, so that an answer that was begun does not look whole. */
    fun breakOff()
}
