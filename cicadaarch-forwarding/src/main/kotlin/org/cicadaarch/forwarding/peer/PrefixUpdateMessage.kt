package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.watch.PrefixUpdate

/**
 * The wire form of [PrefixUpdate], for the keys under [prefix]. The times in [expiring] are in milliseconds.
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
    /** Converts the message to the form that the dispatch module uses. */
    fun toUpdate() = PrefixUpdate(
        baseRevision = baseRevision,
        revision = revision,
        values = values,
        removed = removed,
        expiring = expiring.mapValues { it.value.milliseconds },
    )

    companion object {
        /** The message for [update], an update of the keys under [prefix]. */
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
