package org.cicadaarch.forwarding.exchange

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * The headers that concern only one connection (RFC 9110, section 7.6.1).
 */
internal object HopByHopHeaders {
    private val NAMES = listOf(
        HttpHeaderNames.CONNECTION.toString(),
        "Keep-Alive",
        "Proxy-Connection",
        HttpHeaderNames.TE.toString(),
        HttpHeaderNames.TRAILER.toString(),
        HttpHeaderNames.TRANSFER_ENCODING.toString(),
        HttpHeaderNames.UPGRADE.toString(),
        HttpHeaderNames.EXPECT.toString(),
        HttpHeaderNames.CONTENT_LENGTH.toString(),
    )

    /** Removes them, those that the connection header names, and the length, which is set anew. */
    fun removeFrom(headers: HttpHeaders) {
        headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.forEach { headers.remove(it.trim()) }
        NAMES.forEach { headers.remove(it) }
    }
}
