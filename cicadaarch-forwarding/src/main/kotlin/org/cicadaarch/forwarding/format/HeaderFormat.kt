package org.cicadaarch.forwarding.format

import arrow.core.Either
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Reads and writes the HTTP headers that clients, routers and targets use among each other.
 */
interface HeaderFormat {
    /** Reads the metadata in the [headers] of a client request. */
    fun readRequest(headers: HttpHeaders): RequestMetadata

    /** Changes the [headers] of a client request into those of an [attempt] on a target. */
    fun writeAttempt(headers: HttpHeaders, attempt: AttemptMetadata)

    /** Reads the metadata in the head of a target's response, unless the head contradicts itself. */
    fun readResponse(response: HttpResponse): Either<ContradictoryHead, ResponseMetadata>

    /** Removes the headers that are only for the router from the [headers] of a target's response. */
    fun removeInternalHeaders(headers: HttpHeaders)
}
