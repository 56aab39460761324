package org.cicadaarch.forwarding.client

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * The way back to the caller of one request.
 */
internal interface ClientResponseWriter {
    /** Whether the caller keeps up with what is written. */
    val isWritable: Boolean

    /** Answers with a whole [body], which is the link's to release, and ends the request. */
    fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf)

    /** Begins an answer in parts. */
    fun startResponse(status: HttpResponseStatus, headers: HttpHeaders)

    /** Writes a part of the answer that was begun; the buffer is the link's to release. */
    fun writeContent(content: ByteBuf)

    /** Ends the answer that was begun. */
    fun endResponse()

    /** Closes the connection, so that an answer that was begun does not look whole. */
    fun abort()
}
