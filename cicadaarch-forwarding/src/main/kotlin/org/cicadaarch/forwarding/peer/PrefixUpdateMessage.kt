package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.watch.PrefixUpdate

/**
 * What a router knows newer below [prefix], see [PrefixUpdate]; the times of [expiring] are in milliseconds.
 */
@Serializable
internal data class PrefixUpdateMessage(
    val prefix: String,
    @SerialName("since") val baseRevision: Long?,
    val revision: Long,
    val values: Map<String, String>,
    val removed: Set<String> = emptySet(),
    @SerialName("settling") val expiring: Map<String, Long> = emptyMap(),
) {
    /** The same as the dispatch takes it. */
    fun toUpdate() = PrefixUpdate(
        baseRevision = baseRevision,
        revision = revision,
        values = values,
        removed = removed,
        expiring = expiring.mapValues { it.value.milliseconds },
    )

    companion object {
        /** [update] below [prefix] as they are told. */
        fun of(prefix: String, update: PrefixUpdate) = PrefixUpdateMessage(
            prefix = prefix,
            baseRevision = update.baseRevision,
            revision = update.revision,
            values = update.values,
            removed = update.removed,
            expiring = update.expiring.mapValues { it.value.inWholeMilliseconds },
        )
    }
}
