package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies an operation that is not idempotent; chosen by the client, unique within the client account.
 */
@JvmInline
@Serializable
value class IdempotencyKey(val value: String) : Comparable<IdempotencyKey> {
    override fun compareTo(other: IdempotencyKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
