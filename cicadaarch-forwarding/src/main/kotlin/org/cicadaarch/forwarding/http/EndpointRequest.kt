package org.cicadaarch.forwarding.http

/**
 * A request that an [HttpEndpoint] received: its path and query, and its [body].
 */
internal data class EndpointRequest(val uri: String, val body: String = "")
