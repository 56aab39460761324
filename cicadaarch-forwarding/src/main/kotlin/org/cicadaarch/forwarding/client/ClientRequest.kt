package org.cicadaarch.forwarding.client

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A client request that was read in full. The body is released when its exchange ends.
 */
internal class ClientRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    private val content: RequestBody,
) {
    /** The whole body. */
    val body: ByteBuf get() = content.bytes

    /** Frees the memory of the body. */
    fun release() = content.release()
}
