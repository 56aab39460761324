package org.cicadaarch.request

import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The order in which the targets of a request are asked by the ingress that [view] belongs to.
 */
internal object TargetOrder {
    fun of(head: RequestHead, fleet: FleetDocument, view: RouterView): List<TargetId> {
        val self = view.routers[view.self]
        return head.chat
            ?.let { TargetPreferences.forChat(head.account, head.service, it, fleet, self?.region) }
            ?: TargetPreferences.forRequest(head.id, head.service, fleet, self?.region, self?.zone)
    }
}
