package org.cicadaarch.orders

/**
 * Identifies one store call, state read or order of [group], so that its completion event can be matched to it.
 *
 * A router process never uses a token twice.
 */
data class OrdersToken(val group: OrderGroup, val number: Long)
