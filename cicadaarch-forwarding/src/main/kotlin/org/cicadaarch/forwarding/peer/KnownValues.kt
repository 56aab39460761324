package org.cicadaarch.forwarding.peer

import kotlinx.serialization.Serializable

/**
 * All [values] below [prefix] of the store as of its [revision].
 */
@Serializable
internal data class KnownValues(val prefix: String, val revision: Long, val values: Map<String, String>)
