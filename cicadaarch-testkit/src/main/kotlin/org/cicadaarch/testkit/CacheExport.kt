package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * Prefixes that one engine exports and another imports, parents before their extensions.
 */
@Serializable
internal data class CacheExport(val prefixes: List<CachePrefix>)
