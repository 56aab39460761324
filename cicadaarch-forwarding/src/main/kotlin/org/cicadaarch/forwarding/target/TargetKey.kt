package org.cicadaarch.forwarding.target

import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.TargetId

/**
 * Identifies one process of a target at one address.
 */
internal data class TargetKey(val id: TargetId, val startedAtMillis: Long, val host: String, val port: Int) {
    companion object {
        /** The key of [entry]. */
        fun of(entry: TargetEntry): TargetKey = TargetKey(entry.id, entry.startedAtMillis, entry.host, entry.port)
    }
}
