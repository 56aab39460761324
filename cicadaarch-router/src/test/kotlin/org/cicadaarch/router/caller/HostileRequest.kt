package org.cicadaarch.router.caller

/**
 * Bytes of a caller, and the [status] and error [code] of the answer that they get.
 */
class HostileRequest(private val name: String, val status: Int, val code: String, val bytes: ByteArray) {
    constructor(name: String, status: Int, code: String, text: String) : this(name, status, code, text.toByteArray())

    override fun toString(): String = name
}
