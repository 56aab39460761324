package org.cicadaarch.configuration.dissemination

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
    /** The sender runs [revision]; a receiver that runs no older one answers with [RevisionReported]. */
    @Serializable
    @SerialName("o")
    data class RevisionAnnounced(val revision: Revision) : ConfigurationMessage()

    /** The sender runs [revision], which is [Revision.NONE] while it has no document. */
    @Serializable
    @SerialName("h")
    data class RevisionReported(val revision: Revision) : ConfigurationMessage()

    /** Asks for the receiver's [RevisionReported]. */
    @Serializable
    @SerialName("w")
    data object RevisionRequested : ConfigurationMessage()

    /** Asks for the receiver's document if its revision is above [above]. */
    @Serializable
    @SerialName("f")
    data class DocumentRequested(val above: Revision) : ConfigurationMessage()

    /** The sender runs [document] of [revision]. */
    @Serializable
    @SerialName("d")
    data class DocumentSent(
        val revision: Revision,
        @Serializable(with = CompressedDocumentSerializer::class) val document: FleetDocument,
    ) : ConfigurationMessage()

    /** Asks a watcher for the revisions that it knows of. */
    @Serializable
    @SerialName("m")
    data object RevisionsRequested : ConfigurationMessage()

    /** The [revisions] that the sender knows other routers to run. */
    @Serializable
    @SerialName("r")
    data class RevisionsReported(val revisions: Map<RouterId, Revision>) : ConfigurationMessage()
}
