package org.cicadaarch.protocol

/**
 * CBOR [bytes] that make an unguarded decoder allocate too much memory or overflow its stack.
 */
class MalformedCbor(private val name: String, val bytes: ByteArray) {
    override fun toString(): String = name
}
