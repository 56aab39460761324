package org.cicadaarch.store.framing

/** What a recipient makes of the next bytes of a connection. */
internal sealed class ReadRequest {
    /** A request for [target] with [body], one character a byte. */
    data class Whole(val target: String, val body: String) : ReadRequest()

    /** Bytes that are no request, after which nothing is read. */
    data object Refused : ReadRequest()
}
