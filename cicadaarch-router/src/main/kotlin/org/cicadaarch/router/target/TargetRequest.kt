package org.cicadaarch.router.target

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.cicadaarch.model.RouterAddress

/**
 * One HTTP request to a target. [repeatable] requests may use a kept connection, on which the target may have hung up.
 */
class TargetRequest(
    val address: RouterAddress,
    val method: HttpMethod,
    val path: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
    val repeatable: Boolean,
)
