package org.cicadaarch.orders

import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.WantedState

/**
 * What an order holder tells the operators.
 */
sealed class OrdersNotice {
    /** This router holds [group] under [fencing]. */
    data class GroupHeld(val group: OrderGroup, val fencing: Long) : OrdersNotice()

    /** This router does not hold [group] any more, for [reason]. */
    data class GroupLost(val group: OrderGroup, val reason: String) : OrdersNotice()

    /** A store call about [group] failed for [reason] and is repeated. */
    data class StoreFailed(val group: OrderGroup, val reason: String) : OrdersNotice()

    /** [target] was ordered into [state]. */
    data class OrderSent(val target: TargetId, val state: WantedState, val fencing: Long) : OrdersNotice()

    /** [target] serves its wanted state. */
    data class StateReached(val target: TargetId, val state: WantedState) : OrdersNotice()
}
