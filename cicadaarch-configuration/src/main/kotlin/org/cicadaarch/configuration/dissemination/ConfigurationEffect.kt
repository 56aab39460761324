package org.cicadaarch.configuration.dissemination

import org.cicadaarch.configuration.DocumentError
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreCommand

/**
 * A side effect requested by [ConfigurationReducer].
 */
sealed class ConfigurationEffect {
    /** Sends [message] to router [to], which is never this router. */
    data class Send(val to: RouterId, val message: ConfigurationMessage) : ConfigurationEffect()

    /** Executes [command]; the result is delivered as [ConfigurationEvent.StoreCallCompleted] with the same [token]. */
    data class CallStore(val token: Long, val command: StoreCommand) : ConfigurationEffect()

    /**
     * Parses [text] off the reducer's thread, because a large document takes hundreds of milliseconds. The result is
     * delivered as [ConfigurationEvent.Parsed].
     */
    data class Parse(val revision: Revision, val text: String) : ConfigurationEffect()

    /** Makes [document] at [revision] the active configuration of this router. */
    data class Install(val document: FleetDocument, val revision: Revision) : ConfigurationEffect()

    /** Reports that the document at [revision] has [errors] and is not installed. */
    data class Rejected(val revision: Revision, val errors: List<DocumentError>) : ConfigurationEffect()

    /** Reports that the store has no document at [revision]; an installed document stays active. */
    data class Missing(val revision: Revision) : ConfigurationEffect()
}
