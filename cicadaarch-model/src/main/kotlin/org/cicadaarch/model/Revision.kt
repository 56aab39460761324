package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The revision of the fleet document in the store. A greater value means a later document.
 */
@JvmInline
@Serializable
value class Revision(val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    companion object {
        /** Stands for no revision, while no document is known. */
        val NONE = Revision(0)
    }
}
