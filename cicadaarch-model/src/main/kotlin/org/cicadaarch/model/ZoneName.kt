package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The name of an availability zone.
 */
@JvmInline
@Serializable
value class ZoneName(val value: String) : Comparable<ZoneName> {
    override fun compareTo(other: ZoneName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
