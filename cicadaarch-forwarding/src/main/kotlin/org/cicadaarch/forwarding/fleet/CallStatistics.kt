package org.cicadaarch.forwarding.fleet

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.observation.StoreCallResult
import org.cicadaarch.model.store.StoreVersion

/**
 * Counts the calls of a watch in periods of [PERIOD], each of which starts when a call ends. Passes the summary of a
 * period with many calls to [onManyCalls]. All functions must be called in tasks of [scheduler].
 */
internal class CallStatistics(private val scheduler: TaskScheduler, private val onManyCalls: (CallSummary) -> Unit) {
    private var summary: CallSummary? = null

    /**
     * Counts a call that ended with [result] and led from the store's version [before] to [after]. Returns how many
     * calls of this period have ended so.
     */
    fun callEnded(result: StoreCallResult, before: StoreVersion, after: StoreVersion): Int {
        val next = (summary ?: startPeriod(before)).withCall(result, before, after)
        summary = next
        return next.results.getValue(result)
    }

    private fun startPeriod(before: StoreVersion): CallSummary {
        scheduler.schedule(PERIOD, ::endPeriod)
        return CallSummary(scheduler.now(), before)
    }

    private fun endPeriod() {
        val ended = summary ?: return
        summary = null
        if (ended.isBusy) onManyCalls(ended)
    }

    companion object {
        val PERIOD = 10.seconds
    }
}
