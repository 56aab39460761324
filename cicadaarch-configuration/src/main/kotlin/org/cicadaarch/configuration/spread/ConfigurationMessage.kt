package org.cicadaarch.configuration.spread

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Messages between the configurations of two routers. Each may be lost, late or repeated.
 */
@Serializable
sealed class ConfigurationMessage {
    /** The sender runs [revision]; a receiver that runs no older one answers with [RevisionHeld]. */
    @Serializable
    @SerialName("o")
    data class RevisionOffered(val revision: Revision) : ConfigurationMessage()

    /** The sender runs [revision], which is [Revision.NONE] while it has no document. */
    @Serializable
    @SerialName("h")
    data class RevisionHeld(val revision: Revision) : ConfigurationMessage()

    /** Asks for the receiver's [RevisionHeld]. */
    @Serializable
    @SerialName("w")
    data object RevisionWanted : ConfigurationMessage()

    /** Asks for the receiver's document if its revision is above [above]. */
    @Serializable
    @SerialName("f")
    data class FetchDocument(val above: Revision) : ConfigurationMessage()

    /** The sender runs [document] of [revision]. */
    @Serializable
    @SerialName("d")
    data class DocumentSent(
        val revision: Revision,
        @Serializable(with = PackedDocumentSerializer::class) val document: FleetDocument,
    ) : ConfigurationMessage()

    /** Asks a watcher for the revisions that it knows of. */
    @Serializable
    @SerialName("m")
    data object RevisionsWanted : ConfigurationMessage()

    /** The [revisions] that the sender knows other routers to run. */
    @Serializable
    @SerialName("r")
    data class RevisionsHeld(val revisions: Map<RouterId, Revision>) : ConfigurationMessage()
}
