package org.cicadaarch.store

import arrow.core.Either

/**
 * The platform's list of the fleet's VMs. It lags behind what runs.
 */
interface VirtualMachineList : AutoCloseable {
    /** Fetches the list; [onResult] is called once, on any thread. */
    fun fetch(onResult: (Either<PlatformError, List<VirtualMachine>>) -> Unit)
}
