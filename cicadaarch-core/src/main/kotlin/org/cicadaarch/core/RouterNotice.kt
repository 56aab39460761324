package org.cicadaarch.core

import org.cicadaarch.configuration.dissemination.ConfigurationEffect
import org.cicadaarch.ledger.LedgerNotice
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.orders.OrdersNotice

/**
 * Something that an operator may want to know; it becomes a log event.
 */
sealed class RouterNotice {
    /** About other routers: joined, suspected, removed. */
    data class OfMembership(val notice: MembershipEffect) : RouterNotice()

    /** About the shards of the ledger that this router owns. */
    data class OfLedger(val notice: LedgerNotice) : RouterNotice()

    /** About a document that is not valid or is missing. */
    data class OfConfiguration(val notice: ConfigurationEffect) : RouterNotice()

    /** About orders to engines. */
    data class OfOrders(val notice: OrdersNotice) : RouterNotice()
}
