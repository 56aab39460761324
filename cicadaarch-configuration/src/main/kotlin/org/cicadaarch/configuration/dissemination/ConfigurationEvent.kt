package org.cicadaarch.configuration.dissemination

import arrow.core.Either
import org.cicadaarch.configuration.DocumentError
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreResult

/**
 * What happens to the configuration of one router.
 */
sealed class ConfigurationEvent {
    /** [message] came from router [from]. */
    data class Received(val from: RouterId, val message: ConfigurationMessage) : ConfigurationEvent()

    /** The list of live routers changed, and with it perhaps the watchers and the trees. */
    data class RoutersChanged(val view: RouterView) : ConfigurationEvent()

    /** The membership heard that [router] runs [revision]. */
    data class DigestReceived(val router: RouterId, val revision: Revision) : ConfigurationEvent()

    /** The store answered the call of [ConfigurationEffect.CallStore] with the same [token]. */
    data class StoreCallCompleted(val token: Long, val result: StoreResult) : ConfigurationEvent()

    /** The text of [ConfigurationEffect.Parse] with the same [revision] was parsed. */
    data class Parsed(val revision: Revision, val result: Either<List<DocumentError>, FleetDocument>) :
        ConfigurationEvent()

    /** An operator looks at the status: the revisions of all routers are to be collected. */
    data object StatusRequested : ConfigurationEvent()

    /** The periodic tick, every 100 ms. */
    data object Tick : ConfigurationEvent()
}
