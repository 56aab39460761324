package org.cicadaarch.control

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * A router's response to `GET /status`: its own revision and preset, and the routers and targets that it knows.
 */
@Serializable
internal data class RouterStatus(
    val router: String,
    val revision: Long,
    val preset: String? = null,
    val routers: List<RouterEntry> = emptyList(),
    val targets: List<JsonObject> = emptyList(),
)
