package org.cicadaarch.dispatch.observation

import kotlin.time.Duration
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.dispatch.capacity.TargetCapacity
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * What several routers observed, as of [age] ago.
 *
 * [demands] lists the prompts that keep more than a few requests running at once, with their number. [heavyLoads] lists
 * the targets whose load is far above the mean of their service, each with the age of its own report; [typicalLoads]
 * is the mean load of the others, by service. [times] are the response times of targets that can be added up, in
 * firsthand summaries only; [typicalTimes] those of each target that is not listed, by service. [capacities] are those
 * of slow targets, in summaries of the fleet only.
 */
data class ObservationSummary(
    val age: Duration = Duration.ZERO,
    val demands: Map<PromptId, Double> = emptyMap(),
    val typicalLoads: Map<ServiceName, Double> = emptyMap(),
    val heavyLoads: Map<TargetId, AgedLoad> = emptyMap(),
    val times: Map<TimesKey, RelativeTimes> = emptyMap(),
    val typicalTimes: Map<ServiceName, RelativeTimes> = emptyMap(),
    val capacities: Map<TargetId, TargetCapacity> = emptyMap(),
) {
    /** The same summary after [time] has passed. */
    fun aged(time: Duration): ObservationSummary = copy(
        age = age + time,
        heavyLoads = heavyLoads.mapValues { it.value.aged(time) },
        times = times.mapValues { it.value.aged(time) },
        typicalTimes = typicalTimes.mapValues { it.value.aged(time) },
    )
}
