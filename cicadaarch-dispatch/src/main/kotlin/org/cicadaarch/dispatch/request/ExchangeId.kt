package org.cicadaarch.dispatch.request

/**
 * Identifies a request within one router process, whatever id the caller gave it.
 */
@JvmInline
value class ExchangeId(val value: Long) {
    override fun toString(): String = value.toString()
}
