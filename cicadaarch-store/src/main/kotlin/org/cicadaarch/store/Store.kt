package org.cicadaarch.store

import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult

/**
 * The platform's key-value store.
 */
interface Store : AutoCloseable {
    /** Sends [command]. [onResult] is called exactly once, on any thread, even if the store is down. */
    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit)
}
