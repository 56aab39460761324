package org.cicadaarch.forwarding.format

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Reads and writes the headers by which callers, routers and targets speak.
 */
interface HeaderFormat {
    /** What the [headers] of a caller's request say. */
    fun readRequest(headers: HttpHeaders): RequestMetadata

    /** Turns the [headers] of a caller's request into those of an attempt on a target. */
    fun writeAttempt(headers: HttpHeaders, attempt: AttemptMetadata)

    /** What the head of a target's answer says. */
    fun readResponse(response: HttpResponse): ResponseMetadata

    /** Removes what concerns only router and target from the [headers] of an answer. */
    fun removeInternalHeaders(headers: HttpHeaders)
}
