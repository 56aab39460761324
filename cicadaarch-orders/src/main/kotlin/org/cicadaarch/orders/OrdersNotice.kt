package org.cicadaarch.orders

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.WantedState

/**
 * An event that is logged for operators. The log shows the names of the classes and their fields.
 */
sealed class OrdersNotice {
    /** This router acquired [group]; its orders carry the fencing token [fencing]. */
    data class GroupHeld(val group: OrderGroup, val fencing: Long) : OrdersNotice()

    /** This router no longer holds [group], because of [reason]. */
    data class GroupLost(val group: OrderGroup, val reason: String) : OrdersNotice()

    /** A store call for [group] failed because of [reason] and will be retried. */
    data class StoreFailed(val group: OrderGroup, val reason: String) : OrdersNotice()

    /** [target] was ordered into [state] under the fencing token [fencing]. */
    data class OrderSent(val target: TargetId, val state: WantedState, val fencing: Long) : OrdersNotice()

    /** [target] now serves its wanted state. */
    data class StateReached(val target: TargetId, val state: WantedState) : OrdersNotice()
}
