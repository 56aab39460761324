package org.cicadaarch.forwarding.client

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Writes the response of one request to the client.
 */
internal interface ClientResponseWriter {
    /** Whether the client keeps up with the response, so that its outbound buffer has space. */
    val isWritable: Boolean

    /** Writes a complete response and ends the request. Takes ownership of [body]. */
    fun respond(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf)

    /** Starts a chunked response. */
    fun startResponse(status: HttpResponseStatus, headers: HttpHeaders)

    /** Writes a part of the body of a started response. Takes ownership of [content]. */
    fun writeContent(content: ByteBuf)

    /** Completes a started response. */
    fun endResponse()

    /**
     * Closes the connection without completing the response, so that the client does not mistake a truncated response
     * for a complete one.
     */
    fun abort()
}
