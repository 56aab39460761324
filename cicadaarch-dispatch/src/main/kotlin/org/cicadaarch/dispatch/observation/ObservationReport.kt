package org.cicadaarch.dispatch.observation

import kotlin.time.Duration
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.model.TargetId

/**
 * What one router observed since its last report: the newest load report of each target, the work that it sent for
 * each prompt, as the time that targets usually take for it, and the response [times] of targets.
 */
data class ObservationReport(
    val work: Map<PromptId, Duration> = emptyMap(),
    val loads: Map<TargetId, AgedLoad> = emptyMap(),
    val times: Map<TargetId, RelativeTimes> = emptyMap(),
) {
    /** The same report after [time] has passed. */
    fun aged(time: Duration): ObservationReport = copy(
        loads = loads.mapValues { it.value.aged(time) },
        times = times.mapValues { it.value.aged(time) },
    )
}
