package org.cicadaarch.protocol

/**
 * CBOR [bytes] that a careless decoder answers with too much memory or too deep a stack.
 */
class HostileValue(private val name: String, val bytes: ByteArray) {
    override fun toString(): String = name
}
