package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies a target; unique within the fleet document.
 */
@JvmInline
@Serializable
value class TargetId(val value: String) : Comparable<TargetId> {
    override fun compareTo(other: TargetId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
