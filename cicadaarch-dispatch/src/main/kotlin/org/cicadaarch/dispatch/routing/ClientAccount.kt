package org.cicadaarch.dispatch.routing

import org.cicadaarch.model.AccountId

/**
 * A client account. [priority] overrides the priority of the route, if set.
 */
data class ClientAccount(val id: AccountId, val priority: Int?)
