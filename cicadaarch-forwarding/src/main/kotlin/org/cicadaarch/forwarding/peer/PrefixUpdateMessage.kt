package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.watch.PrefixUpdate
import org.cicadaarch.model.store.StoreVersion

/**
 * The wire form of [PrefixUpdate], for the keys under [prefix]. The times in [expiring] are in milliseconds.
 *
 * Routers of earlier versions of the program send no [era]; [baseRevision] is of the same one.
 */
@Serializable
internal data class PrefixUpdateMessage(
    val prefix: String,
    @SerialName("since") val baseRevision: Long?,
    val revision: Long,
    val era: Long? = null,
    val values: Map<String, String>,
    val removed: Set<String> = emptySet(),
    @SerialName("settling") val expiring: Map<String, Long> = emptyMap(),
) {
    /** Converts the message to the form that the dispatch module uses. It is of [defaultEra] if it states none. */
    fun toUpdate(defaultEra: Long) = PrefixUpdate(
        baseVersion = baseRevision?.let { StoreVersion(era ?: defaultEra, it) },
        version = StoreVersion(era ?: defaultEra, revision),
        values = values,
        removed = removed,
        expiring = expiring.mapValues { it.value.milliseconds },
    )

    companion object {
        /** The message for [update], an update of the keys under [prefix]. */
        fun of(prefix: String, update: PrefixUpdate) = PrefixUpdateMessage(
            prefix = prefix,
            baseRevision = update.baseVersion?.revision,
            revision = update.version.revision,
            era = update.version.era,
            values = update.values,
            removed = update.removed,
            expiring = update.expiring.mapValues { it.value.inWholeMilliseconds },
        )
    }
}
