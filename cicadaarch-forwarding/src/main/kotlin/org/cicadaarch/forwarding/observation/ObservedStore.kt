package org.cicadaarch.forwarding.observation

import kotlin.time.TimeSource
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.store.Store

/**
 * Passes commands on to [store], and counts and times them in [metrics].
 */
internal class ObservedStore(
    private val store: Store,
    private val metrics: ForwardingMetrics,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : Store by store {
    override fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) {
        val sentAt = timeSource.markNow()
        store.execute(command) { result ->
            metrics.recordStoreCall(
                kind = StoreCallKind.of(command),
                result = StoreCallResult.of(command, result),
                time = sentAt.elapsedNow(),
            )
            onResult(result)
        }
    }
}
