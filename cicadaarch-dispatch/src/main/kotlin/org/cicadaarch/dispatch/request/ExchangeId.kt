package org.cicadaarch.dispatch.request

/**
 * Identifies a request within one router process. It does not depend on the request id that the client sent.
 */
@JvmInline
value class ExchangeId(val value: Long) {
    override fun toString(): String = value.toString()
}
