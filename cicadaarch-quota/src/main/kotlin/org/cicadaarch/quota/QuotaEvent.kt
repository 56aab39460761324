package org.cicadaarch.quota

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.fleet.FleetDocument

/**
 * What happens to the ingress side and the quota owners of one router.
 */
sealed class QuotaEvent {
    /** [message] came from the router [from]. */
    data class Received(val from: RouterId, val message: QuotaMessage) : QuotaEvent()

    /** The list of live routers changed. */
    data class RoutersChanged(val view: RouterView) : QuotaEvent()

    /** A configuration came into force. */
    data class FleetChanged(val fleet: FleetDocument) : QuotaEvent()

    /** A request of [account] with [tokens] came and, with [admitted], was let in. */
    data class RequestChecked(val account: AccountId, val tokens: Int, val admitted: Boolean) : QuotaEvent()

    /** An admitted request of [account] ended. */
    data class RequestEnded(val account: AccountId) : QuotaEvent()

    /** The periodic tick. */
    data object Tick : QuotaEvent()
}
