package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.watch.PrefixUpdate

/**
 * What a router knows newer below [prefix], see [PrefixUpdate]; the times of [settling] are in milliseconds.
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
    fun changes() = PrefixUpdate(since, revision, values, removed, settling.mapValues { it.value.milliseconds })

    companion object {
        /** [changes] below [prefix] as they are told. */
        fun of(prefix: String, changes: PrefixUpdate) = KnownValues(
            prefix = prefix,
            since = changes.baseRevision,
            revision = changes.revision,
            values = changes.values,
            removed = changes.removed,
            settling = changes.expiring.mapValues { it.value.inWholeMilliseconds },
        )
    }
}
