package org.cicadaarch.membership

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * One entry of the platform's lagging list: a VM of the router fleet, live or [leaving].
 */
data class ListedVm(val address: RouterAddress, val zone: ZoneName, val leaving: Boolean = false)
