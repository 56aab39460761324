package org.cicadaarch.control

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.store.Store

/**
 * Calls [store] and waits for each answer, for at most [timeout].
 */
internal class StoreCaller(private val store: Store, private val timeout: Duration) {
    fun call(command: StoreCommand): StoreResult {
        val answer = CompletableFuture<StoreResult>()
        store.execute(command) { answer.complete(it) }
        return try {
            answer.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            StoreResult.Unanswered("no answer in $timeout")
        }
    }
}
