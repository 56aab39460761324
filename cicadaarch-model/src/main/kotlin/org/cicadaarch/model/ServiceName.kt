package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Names a service: a model or a plain service that several targets offer.
 */
@JvmInline
@Serializable
value class ServiceName(val value: String) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
