package org.cicadaarch.quota

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.FleetDocument

/**
 * An input of [QuotaReducer].
 */
sealed class QuotaEvent {
    /** [message] was received from the router [from]. */
    data class Received(val from: RouterId, val message: QuotaMessage) : QuotaEvent()

    /** The list of live routers changed. */
    data class RoutersChanged(val view: RouterView) : QuotaEvent()

    /** A configuration took effect. */
    data class FleetChanged(val fleet: FleetDocument) : QuotaEvent()

    /** A request of [account] with [tokens] was checked and, if [admitted], let in. */
    data class RequestChecked(val account: AccountId, val tokens: Int, val admitted: Boolean) : QuotaEvent()

    /** An admitted request of [account] ended. */
    data class RequestEnded(val account: AccountId) : QuotaEvent()

    /** The periodic tick. */
    data object Tick : QuotaEvent()
}
