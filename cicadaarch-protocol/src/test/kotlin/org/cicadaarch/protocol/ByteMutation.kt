package org.cicadaarch.protocol

/**
 * A mutation of encoded bytes at the relative [position], from 0.0 for the first byte to 1.0 for the last.
 */
data class ByteMutation(val kind: Kind, val position: Double, val value: Byte) {
    enum class Kind { REPLACE, INSERT, REMOVE, TRUNCATE }

    /** Returns a mutated copy of [bytes]. */
    fun applyTo(bytes: ByteArray): ByteArray {
        if (bytes.isEmpty()) return byteArrayOf(value)
        val index = (position * bytes.lastIndex).toInt()
        val before = bytes.copyOf(index)
        val after = bytes.copyOfRange(index + 1, bytes.size)
        return when (kind) {
            Kind.REPLACE -> before + value + after
            Kind.INSERT -> before + value + bytes.copyOfRange(index, bytes.size)
            Kind.REMOVE -> before + after
            Kind.TRUNCATE -> before
        }
    }
}
