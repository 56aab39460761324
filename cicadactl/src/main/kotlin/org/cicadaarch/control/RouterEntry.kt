package org.cicadaarch.control

import kotlinx.serialization.Serializable

/**
 * A router and the revision that is in force on it, 0 if it is not known.
 */
@Serializable
internal data class RouterEntry(val router: String, val revision: Long, val leaving: Boolean = false)
