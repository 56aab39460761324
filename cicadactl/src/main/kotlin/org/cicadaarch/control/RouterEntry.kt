package org.cicadaarch.control

import kotlinx.serialization.Serializable

/**
 * A router and the revision that it is known to run, 0 when that is unknown.
 */
@Serializable
internal data class RouterEntry(val router: String, val revision: Long, val leaving: Boolean = false)
