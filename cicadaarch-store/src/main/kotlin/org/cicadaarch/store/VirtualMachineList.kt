package org.cicadaarch.store

import arrow.core.Either

/**
 * The platform's list of the VMs in the fleet. The list may be out of date.
 */
interface VirtualMachineList : AutoCloseable {
    /** Fetches the list. [onResult] is called exactly once, on any thread. */
    fun fetch(onResult: (Either<PlatformError, List<VirtualMachine>>) -> Unit)
}
