package org.cicadaarch.configuration.dissemination

import org.cicadaarch.configuration.DocumentError
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreCommand

/**
 * What the configuration of one router wants done.
 */
sealed class ConfigurationEffect {
    /** Sends [message] to router [to], never this one. */
    data class Send(val to: RouterId, val message: ConfigurationMessage) : ConfigurationEffect()

    /** Executes [command]; the answer comes back as [ConfigurationEvent.StoreCallCompleted] with [token]. */
    data class CallStore(val token: Long, val command: StoreCommand) : ConfigurationEffect()

    /**
     * Parses [text] away from the reducer's thread, as a large document takes hundreds of milliseconds; the result
     * comes back as [ConfigurationEvent.Parsed].
     */
    data class Parse(val revision: Revision, val text: String) : ConfigurationEffect()

    /** [document] of [revision] comes into force on this router. */
    data class Install(val document: FleetDocument, val revision: Revision) : ConfigurationEffect()

    /** Notice: the document of [revision] has [errors] and is skipped. */
    data class Rejected(val revision: Revision, val errors: List<DocumentError>) : ConfigurationEffect()

    /** Notice: the store has no document at its [revision]; a document in force stays so. */
    data class Missing(val revision: Revision) : ConfigurationEffect()
}
