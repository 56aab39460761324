package org.cicadaarch.dispatch.target

import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * What a target says of itself: [slots] requests run at once. An id that appears with another [startedAtMillis] (Unix
 * time) is a new process that knows nothing of earlier requests; [sequence] grows while one process lives.
 */
data class TargetEntry(
    val id: TargetId,
    val service: ServiceName,
    val host: String,
    val port: Int,
    val zone: ZoneName,
    val slots: Int,
    val isDraining: Boolean,
    val startedAtMillis: Long,
    val sequence: Long,
) {
    /** Whether [other] is the same process at the same address. */
    fun isSameProcess(other: TargetEntry): Boolean =
        id == other.id && startedAtMillis == other.startedAtMillis && host == other.host && port == other.port

    /** Whether this was written before [other] by the same process. */
    fun isOlderThan(other: TargetEntry): Boolean =
        startedAtMillis < other.startedAtMillis || (isSameProcess(other) && sequence < other.sequence)
}
