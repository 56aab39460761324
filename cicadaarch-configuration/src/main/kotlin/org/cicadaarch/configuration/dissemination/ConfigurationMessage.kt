package org.cicadaarch.configuration.dissemination

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * A configuration message between two routers. Messages may be lost, delayed or duplicated.
 */
@Serializable
sealed class ConfigurationMessage {
    /** The sender runs [revision]. A receiver that runs the same or a newer one replies with [RevisionReported]. */
    @Serializable
    @SerialName("o")
    data class RevisionAnnounced(val revision: Revision) : ConfigurationMessage()

    /** The sender runs [revision], or [Revision.NONE] if it has no document yet. */
    @Serializable
    @SerialName("h")
    data class RevisionReported(val revision: Revision) : ConfigurationMessage()

    /** Requests a [RevisionReported] from the receiver. */
    @Serializable
    @SerialName("w")
    data object RevisionRequested : ConfigurationMessage()

    /** Requests the receiver's document if its revision is newer than [above]. */
    @Serializable
    @SerialName("f")
    data class DocumentRequested(val above: Revision) : ConfigurationMessage()

    /** The sender runs [document] at [revision]. */
    @Serializable
    @SerialName("d")
    data class DocumentSent(
        val revision: Revision,
        @Serializable(with = CompressedDocumentSerializer::class) val document: FleetDocument,
    ) : ConfigurationMessage()

    /** Requests a [RevisionsReported] from a watcher. */
    @Serializable
    @SerialName("m")
    data object RevisionsRequested : ConfigurationMessage()

    /** The latest revision of each live router that the sender knows, including its own. */
    @Serializable
    @SerialName("r")
    data class RevisionsReported(val revisions: Map<RouterId, Revision>) : ConfigurationMessage()
}
