package org.cicadaarch.store

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * An entry of the platform's list: a VM with the [address] of its router. [leaving] VMs are about to stop.
 */
data class VirtualMachine(val address: RouterAddress, val zone: ZoneName, val leaving: Boolean)
