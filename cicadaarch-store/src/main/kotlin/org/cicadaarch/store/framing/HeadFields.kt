package org.cicadaarch.store.framing

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * The fields of a head that is being decoded. A second Content-Length is refused here, as the HTTP library merges
 * several of them before anyone else sees them.
 */
internal class HeadFields : DefaultHttpHeaders() {
    override fun add(name: CharSequence, value: Any): HttpHeaders {
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name) && contains(name)) {
            throw FramingException("several fields Content-Length")
        }
        return super.add(name, value)
    }

    /** Creates the fields of each head of a connection. */
    object Factory : HttpHeadersFactory {
        override fun newHeaders(): HttpHeaders = HeadFields()

        override fun newEmptyHeaders(): HttpHeaders = HeadFields()
    }
}
