package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies a router process. A restarted process has a new id.
 */
@JvmInline
@Serializable
value class RouterId(val value: String) : Comparable<RouterId> {
    override fun compareTo(other: RouterId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
