package org.cicadaarch.control

import kotlinx.serialization.json.JsonObject

/**
 * What several routers' answers say together: each router with the newest revision that anyone knows of it.
 *
 * [preset] and [targets] are those of the answer with the newest revision; [unreachable] are endpoints without answer.
 */
internal data class FleetStatus(
    val routers: List<RouterEntry>,
    val preset: String?,
    val targets: List<JsonObject>,
    val unreachable: List<String>,
) {
    /** The newest revision that a router runs. */
    val revision: Long get() = routers.maxOfOrNull { it.revision } ?: 0

    /** The routers that run an older revision than [revision] or none; leaving ones do not count. */
    fun behind(revision: Long): List<RouterEntry> = routers.filter { !it.leaving && it.revision < revision }

    /** How many routers run [revision] or a newer one. */
    fun running(revision: Long): Int = routers.count { it.revision >= revision }

    companion object {
        fun of(answers: List<RouterStatus>, unreachable: List<String>): FleetStatus {
            val entries = answers.flatMap { answer ->
                val isLeaving = answer.routers.any { it.router == answer.router && it.leaving }
                answer.routers + RouterEntry(answer.router, answer.revision, isLeaving)
            }
            val newest = answers.maxByOrNull { it.revision }
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
