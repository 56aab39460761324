package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Identifies one caller's request, unique over all routers.
 */
@JvmInline
@Serializable
value class RequestId(val value: String) : Comparable<RequestId> {
    override fun compareTo(other: RequestId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
