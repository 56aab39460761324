package org.cicadaarch.protocol

/**
 * A change to encoded bytes at [position], given as a share of their length.
 */
data class ByteChange(val kind: Kind, val position: Double, val value: Byte) {
    enum class Kind { REPLACE, INSERT, REMOVE, TRUNCATE }

    /** [bytes] with the change made. */
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
