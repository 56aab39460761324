package org.cicadaarch.router.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.cicadaarch.model.RequestHead

/**
 * A caller's whole request: what decisions need ([head]) and what the target gets. [path] is the path at the target.
 */
class CallerRequest(
    val head: RequestHead,
    val method: HttpMethod,
    val path: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
)
