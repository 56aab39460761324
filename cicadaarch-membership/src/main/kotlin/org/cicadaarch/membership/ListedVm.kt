package org.cicadaarch.membership

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * An entry of the platform's VM list: a VM of the router fleet, which is shutting down when [leaving].
 *
 * The list may lag behind the state of the fleet.
 */
data class ListedVm(val address: RouterAddress, val zone: ZoneName, val leaving: Boolean = false)
