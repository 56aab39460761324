package org.cicadaarch.control

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.store.Store

/**
 * Executes commands of [store] synchronously, each within [timeout].
 */
internal class StoreCaller(private val store: Store, private val timeout: Duration) {
    /** Executes [command] and returns its result. */
    fun call(command: StoreCommand): StoreResult {
        val response = CompletableFuture<StoreResult>()
        store.execute(command) { response.complete(it) }
        return try {
            response.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            StoreResult.Unanswered("no response within $timeout")
        }
    }
}
