package org.cicadaarch.control

import kotlinx.serialization.json.JsonObject

/**
 * The status of the fleet, combined from the responses of several routers: each router with its newest known revision.
 *
 * [preset] and [targets] are those of the response with the newest revision; [unreachable] are the endpoints that did
 * not respond.
 */
internal data class FleetStatus(
    val routers: List<RouterEntry>,
    val preset: String?,
    val targets: List<JsonObject>,
    val unreachable: List<String>,
) {
    /** The newest revision in force on any router. */
    val revision: Long get() = routers.maxOfOrNull { it.revision } ?: 0

    /** Returns the routers on which [revision] is not in force yet, without those that are leaving. */
    fun routersBehind(revision: Long): List<RouterEntry> = routers.filter { !it.leaving && it.revision < revision }

    /** Returns the number of routers on which [revision] or a newer one is in force. */
    fun runningCount(revision: Long): Int = routers.count { it.revision >= revision }

    companion object {
        /** Combines [responses]; the endpoints in [unreachable] did not respond. */
        fun of(responses: List<RouterStatus>, unreachable: List<String>): FleetStatus {
            val entries = responses.flatMap { response ->
                val isLeaving = response.routers.any { it.router == response.router && it.leaving }
                response.routers + RouterEntry(response.router, response.revision, isLeaving)
            }
            val newest = responses.maxByOrNull { it.revision }
            return FleetStatus(
                routers = entries.groupBy { it.router }.values.map(::merged).sortedBy { it.router },
                preset = newest?.preset,
                targets = newest?.targets.orEmpty(),
                unreachable = unreachable,
            )
        }

        private fun merged(entries: List<RouterEntry>) = RouterEntry(
            router = entries.first().router,
            revision = entries.maxOf { it.revision },
            leaving = entries.any { it.leaving },
        )
    }
}
