package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Names a client account, unique in the fleet document.
 */
@JvmInline
@Serializable
value class AccountId(val value: String) : Comparable<AccountId> {
    override fun compareTo(other: AccountId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
