package org.cicadaarch.store

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * A VM in the platform's list, with the [address] of its router. A [leaving] VM is about to stop.
 */
data class VirtualMachine(val address: RouterAddress, val zone: ZoneName, val leaving: Boolean)
