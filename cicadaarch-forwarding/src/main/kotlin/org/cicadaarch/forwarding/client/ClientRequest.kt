package org.cicadaarch.forwarding.client

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/**
 * A whole request of a caller. Its [body] is released when the exchange ends.
 */
internal class ClientRequest(val method: HttpMethod, val uri: String, val headers: HttpHeaders, val body: ByteBuf)
