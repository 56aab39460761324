package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The name of a preset in the fleet document.
 */
@JvmInline
@Serializable
value class PresetName(val value: String) : Comparable<PresetName> {
    override fun compareTo(other: PresetName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
