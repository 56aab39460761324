package org.cicadaarch.dispatch.routing

import org.cicadaarch.model.AccountId

/**
 * A client account; its [priority], if any, replaces that of the route.
 */
data class ClientAccount(val id: AccountId, val priority: Int?)
