package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The name of a region, which is a set of availability zones.
 */
@JvmInline
@Serializable
value class RegionName(val value: String) : Comparable<RegionName> {
    override fun compareTo(other: RegionName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
