package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * The name of a service: a model or a plain HTTP service, which several targets provide.
 */
@JvmInline
@Serializable
value class ServiceName(val value: String) : Comparable<ServiceName> {
    override fun compareTo(other: ServiceName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
