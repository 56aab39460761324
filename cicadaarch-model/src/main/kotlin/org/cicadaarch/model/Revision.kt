package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The store's revision of the fleet document; a greater value is a later document.
 */
@JvmInline
@Serializable
value class Revision(val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    companion object {
        /** The revision before any document is known. */
        val NONE = Revision(0)
    }
}
