package org.cicadaarch.forwarding.exchange

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/**
 * Headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1).
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

    /**
     * Removes these headers, those listed in the Connection header, and Content-Length, which the next hop sets again.
     */
    fun removeFrom(headers: HttpHeaders) {
        headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.forEach { headers.remove(it.trim()) }
        NAMES.forEach { headers.remove(it) }
    }
}
