package org.cicadaarch.store.framing

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion

/**
 * How the end of a message's body is found (RFC 9112, sections 6.1 to 6.3).
 *
 * Stricter than the RFC where senders and recipients are known to disagree: a message has either one Content-Length of
 * digits only, or one Transfer-Encoding that is `chunked` and nothing else, or neither.
 */
internal sealed class BodyFraming {
    /** The body has [bytes] bytes. */
    data class Length(val bytes: Long) : BodyFraming()

    /** The body ends with its last chunk. */
    data object Chunked : BodyFraming()

    /** The body ends with the connection, if that ends in order. */
    data object UntilClose : BodyFraming()

    companion object {
        private val NO_BODY = Length(bytes = 0)

        /** Enough for any body, and no overflow of a [Long]. */
        private const val MAX_LENGTH_DIGITS = 18
        private val NO_CONTENT_STATUSES = setOf(HttpResponseStatus.NO_CONTENT, HttpResponseStatus.NOT_MODIFIED)

        /** The framing of the body after [head]. Throws a [FramingException] if it is in doubt. */
        fun ofRequest(head: HttpRequest): BodyFraming = stated(head) ?: NO_BODY

        /** The framing of the body after [head], the response to a HEAD request if [isToHead]. Throws as above. */
        fun ofResponse(head: HttpResponse, isToHead: Boolean): BodyFraming {
            val stated = stated(head)
            val hasNoBody = isToHead ||
                head.status().codeClass() == HttpStatusClass.INFORMATIONAL ||
                head.status() in NO_CONTENT_STATUSES
            return if (hasNoBody) NO_BODY else stated ?: UntilClose
        }

        private fun stated(head: HttpMessage): BodyFraming? {
            val codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
            val lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
            return when {
                codings.isNotEmpty() && lengths.isNotEmpty() ->
                    throw FramingException("both Content-Length and Transfer-Encoding")

                codings.isNotEmpty() -> chunked(head.protocolVersion(), codings)

                lengths.isNotEmpty() -> Length(length(lengths))

                else -> null
            }
        }

        private fun chunked(version: HttpVersion, codings: List<String>): BodyFraming {
            val isChunkedOnly = codings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.single())
            return when {
                !isChunkedOnly -> throw FramingException("Transfer-Encoding is not just chunked")
                version < HttpVersion.HTTP_1_1 -> throw FramingException("Transfer-Encoding in $version")
                else -> Chunked
            }
        }

        private fun length(fields: List<String>): Long {
            val digits = fields.singleOrNull() ?: throw FramingException("several fields Content-Length")
            val isNumber = digits.length in 1..MAX_LENGTH_DIGITS && digits.all { it in '0'..'9' }
            return if (isNumber) digits.toLong() else throw FramingException("Content-Length is no number")
        }
    }
}
