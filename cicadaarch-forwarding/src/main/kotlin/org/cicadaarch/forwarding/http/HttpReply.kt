package org.cicadaarch.forwarding.http

import io.netty.handler.codec.http.HttpResponseStatus

/**
 * An answer of one of the router's own endpoints.
 */
internal data class HttpReply(
    val status: HttpResponseStatus,
    val body: String = "",
    val contentType: String = "text/plain; charset=utf-8",
)
