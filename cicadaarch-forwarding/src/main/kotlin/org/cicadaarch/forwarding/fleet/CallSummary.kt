package org.cicadaarch.forwarding.fleet

import org.cicadaarch.forwarding.observation.StoreCallResult
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreVersion

/**
 * The calls of a watch that have ended since [startedAt], when the store's version [before] was known: their number by
 * result, and the number of those that brought a later version. Since the last one, [after] is known.
 */
internal data class CallSummary(
    val startedAt: Timestamp,
    val before: StoreVersion,
    val after: StoreVersion = before,
    val results: Map<StoreCallResult, Int> = emptyMap(),
    val newsCount: Int = 0,
) {
    /** The number of calls. */
    val callCount: Int get() = results.values.sum()

    /** Whether these are many calls, none of which brought news. */
    val isInVain: Boolean get() = isBusy && newsCount == 0

    /** Whether these are more calls than a calm watch needs. */
    val isBusy: Boolean get() = callCount > MAX_CALM_CALLS

    /** The summary with one more call that ended with [result] and led from the version [before] to [after]. */
    fun withCall(result: StoreCallResult, before: StoreVersion, after: StoreVersion): CallSummary = copy(
        after = after,
        results = results + (result to (results[result] ?: 0) + 1),
        newsCount = if (after > before) newsCount + 1 else newsCount,
    )

    companion object {
        /** A watch without changes takes one call in each [CallStatistics.PERIOD]. */
        const val MAX_CALM_CALLS = 10
    }
}
