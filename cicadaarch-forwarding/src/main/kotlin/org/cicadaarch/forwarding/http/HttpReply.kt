package org.cicadaarch.forwarding.http

import io.netty.handler.codec.http.HttpResponseStatus

/**
 * A response of one of the router's own HTTP endpoints.
 */
internal data class HttpReply(
    val status: HttpResponseStatus,
    val body: String = "",
    val contentType: String = "text/plain; charset=utf-8",
)
