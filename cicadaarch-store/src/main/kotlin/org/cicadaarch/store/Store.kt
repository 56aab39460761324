package org.cicadaarch.store

import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult

/**
 * The platform's key-value service.
 */
interface Store : AutoCloseable {
    /** Sends [command]; [onResult] is called once, on any thread, also when the store is down. */
    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit)
}
