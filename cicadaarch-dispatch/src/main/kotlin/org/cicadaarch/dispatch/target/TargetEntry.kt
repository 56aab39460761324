package org.cicadaarch.dispatch.target

import kotlin.time.Duration
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * A target as it registers itself in the store.
 *
 * It runs [slots] requests at once. An entry with the same id but another [startedAtMillis] (Unix time) belongs to a
 * new process that has no state of earlier requests. [sequence] increases with each entry that a process writes. For
 * [warmUpRemaining] from when the entry was written, the target is slow.
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
    val warmUpRemaining: Duration = Duration.ZERO,
) {
    /** Whether [other] is an entry of the same process at the same address. */
    fun isSameProcess(other: TargetEntry): Boolean =
        id == other.id && startedAtMillis == other.startedAtMillis && host == other.host && port == other.port

    /** Whether this entry is of an earlier process than [other], or was written earlier by the same process. */
    fun isOlderThan(other: TargetEntry): Boolean =
        startedAtMillis < other.startedAtMillis || (isSameProcess(other) && sequence < other.sequence)
}
