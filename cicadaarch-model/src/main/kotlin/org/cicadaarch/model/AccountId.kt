package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies a client account; unique within the fleet document.
 */
@JvmInline
@Serializable
value class AccountId(val value: String) : Comparable<AccountId> {
    override fun compareTo(other: AccountId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
