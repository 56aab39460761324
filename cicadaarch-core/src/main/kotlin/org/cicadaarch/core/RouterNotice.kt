package org.cicadaarch.core

import org.cicadaarch.configuration.dissemination.ConfigurationEffect
import org.cicadaarch.ledger.LedgerNotice
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.orders.OrdersNotice

/**
 * An event of a role that is logged for operators.
 */
sealed class RouterNotice {
    /** A change of another router's membership, or a pause of this process. */
    data class OfMembership(val notice: MembershipEffect) : RouterNotice()

    /** An event of the ledger shards that this router owns. */
    data class OfLedger(val notice: LedgerNotice) : RouterNotice()

    /** A configuration document is invalid or missing. */
    data class OfConfiguration(val notice: ConfigurationEffect) : RouterNotice()

    /** An event of the orders to model engines. */
    data class OfOrders(val notice: OrdersNotice) : RouterNotice()
}
