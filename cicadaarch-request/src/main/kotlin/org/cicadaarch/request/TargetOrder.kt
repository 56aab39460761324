package org.cicadaarch.request

import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The order in which an ingress requests permits on the targets of a request.
 */
internal object TargetOrder {
    /** The targets for the request [head], most preferred first, at the ingress whose view of the routers is [view]. */
    fun of(head: RequestHead, fleet: FleetDocument, view: RouterView): List<TargetId> {
        val self = view.routers[view.self]
        return head.chat
            ?.let { TargetPreferences.forChat(head.account, head.service, it, fleet, self?.region) }
            ?: TargetPreferences.forRequest(head.id, head.service, fleet, self?.region, self?.zone)
    }
}
