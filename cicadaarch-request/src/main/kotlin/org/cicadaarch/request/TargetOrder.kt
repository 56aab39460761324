package org.cicadaarch.request

import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The order in which the targets of a request are asked.
 */
internal object TargetOrder {
    fun of(head: RequestHead, fleet: FleetDocument): List<TargetId> =
        ChatPlacement.order(head.account, head.service, head.chat, fleet, fallbackKey = head.id.value)
}
