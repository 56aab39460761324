package org.cicadaarch.control

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * The answer of a router's `GET /status`: its own revision and preset, and what it knows of the others.
 */
@Serializable
internal data class RouterStatus(
    val router: String,
    val revision: Long,
    val preset: String? = null,
    val routers: List<RouterEntry> = emptyList(),
    val targets: List<JsonObject> = emptyList(),
)
