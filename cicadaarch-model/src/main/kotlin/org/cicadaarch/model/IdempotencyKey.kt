package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The caller's name for a non-idempotent operation, unique within the client account.
 */
@JvmInline
@Serializable
value class IdempotencyKey(val value: String) : Comparable<IdempotencyKey> {
    override fun compareTo(other: IdempotencyKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
