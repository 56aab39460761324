package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.follow.KnownChanges

/**
 * What a router knows newer below [prefix], see [KnownChanges]; the times of [settling] are in milliseconds.
 */
@Serializable
internal data class KnownValues(
    val prefix: String,
    val since: Long?,
    val revision: Long,
    val values: Map<String, String>,
    val removed: Set<String> = emptySet(),
    val settling: Map<String, Long> = emptyMap(),
) {
    /** The same as the dispatch takes it. */
    fun changes() = KnownChanges(since, revision, values, removed, settling.mapValues { it.value.milliseconds })

    companion object {
        /** [changes] below [prefix] as they are told. */
        fun of(prefix: String, changes: KnownChanges) = KnownValues(
            prefix = prefix,
            since = changes.since,
            revision = changes.revision,
            values = changes.values,
            removed = changes.removed,
            settling = changes.settling.mapValues { it.value.inWholeMilliseconds },
        )
    }
}
