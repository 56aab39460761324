package org.cicadaarch.orders

/**
 * Names one store call, state read or order of [group]; the answer event repeats it. Never reused by a router.
 */
data class OrdersToken(val group: OrderGroup, val number: Long)
