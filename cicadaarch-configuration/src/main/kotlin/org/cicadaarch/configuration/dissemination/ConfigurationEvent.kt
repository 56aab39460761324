package org.cicadaarch.configuration.dissemination

import arrow.core.Either
import org.cicadaarch.configuration.DocumentError
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreResult

/**
 * An input of [ConfigurationReducer].
 */
sealed class ConfigurationEvent {
    /** [message] was received from router [from]. */
    data class Received(val from: RouterId, val message: ConfigurationMessage) : ConfigurationEvent()

    /** The set of live routers changed, which may change the watchers and the dissemination trees. */
    data class RoutersChanged(val view: RouterView) : ConfigurationEvent()

    /** A membership digest says that [router] runs [revision]. */
    data class DigestReceived(val router: RouterId, val revision: Revision) : ConfigurationEvent()

    /** The store call of the [ConfigurationEffect.CallStore] with the same [token] returned [result]. */
    data class StoreCallCompleted(val token: Long, val result: StoreResult) : ConfigurationEvent()

    /** The text of the [ConfigurationEffect.Parse] with the same [revision] was parsed. */
    data class Parsed(val revision: Revision, val result: Either<List<DocumentError>, FleetDocument>) :
        ConfigurationEvent()

    /** An operator requested the fleet status, for which the revisions of all routers are collected. */
    data object StatusRequested : ConfigurationEvent()

    /** Periodic tick, every 100 ms. */
    data object Tick : ConfigurationEvent()
}
