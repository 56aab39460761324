package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies a request of a client; unique across all routers.
 */
@JvmInline
@Serializable
value class RequestId(val value: String) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
