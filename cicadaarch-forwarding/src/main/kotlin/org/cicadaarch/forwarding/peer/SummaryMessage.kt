package org.cicadaarch.forwarding.peer

import kotlin.math.roundToLong
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.observation.PromptId
import org.cicadaarch.dispatch.observation.TimesKey
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

/**
 * The wire form of [ObservationSummary]. Demands and typical loads are in hundredths of a request.
 */
@Serializable
internal data class SummaryMessage(
    @SerialName("age") val ageMillis: Long,
    val demands: Map<String, Long> = emptyMap(),
    @SerialName("typical") val typicalLoads: Map<String, Long> = emptyMap(),
    @SerialName("heavy") val heavyLoads: Map<String, LoadMessage> = emptyMap(),
    val times: Map<String, List<TimesMessage>> = emptyMap(),
    val typicalTimes: Map<String, TimesMessage> = emptyMap(),
    val capacities: Map<String, CapacityMessage> = emptyMap(),
) {
    /** Converts the message to the form that the dispatch module uses. */
    fun toSummary() = ObservationSummary(
        age = ageMillis.coerceIn(0, MAX_AGE_MILLIS).milliseconds,
        demands = demands.entries
            .mapNotNull { (prompt, demand) -> PromptId.parse(prompt)?.let { it to requests(demand) } }
            .toMap(),
        typicalLoads = typicalLoads.entries.associate { (service, load) -> ServiceName(service) to requests(load) },
        heavyLoads = heavyLoads.entries.associate { (target, load) -> TargetId(target) to load.toLoad() },
        times = times.flatMap { (target, groups) ->
            groups.take(TimesKey.GROUPS).mapIndexed { group, times ->
                TimesKey(TargetId(target), group) to times.toTimes(MAX_SAMPLES)
            }
        }.toMap(),
        typicalTimes = typicalTimes.entries.associate { (service, times) ->
            ServiceName(service) to times.toTimes(MAX_SAMPLES)
        },
        capacities = capacities.entries.associate { (target, capacity) ->
            TargetId(target) to capacity.toCapacity()
        },
    )

    companion object {
        private const val HUNDREDTHS = 100.0
        private const val MAX_HUNDREDTHS = 100_000_000L
        private const val MAX_AGE_MILLIS = 60_000L
        private const val MAX_SAMPLES = 1_000.0

        /** The message for [summary]. */
        fun of(summary: ObservationSummary) = SummaryMessage(
            ageMillis = summary.age.inWholeMilliseconds,
            demands = summary.demands.entries.associate { (prompt, demand) -> prompt.toString() to hundredths(demand) },
            typicalLoads = summary.typicalLoads.entries.associate { (service, load) ->
                service.value to hundredths(load)
            },
            heavyLoads = summary.heavyLoads.entries.associate { (target, load) ->
                target.value to LoadMessage.of(load)
            },
            times = summary.times.keys.map { it.target }.distinct().associate { target ->
                target.value to timesByGroup(summary, target)
            },
            typicalTimes = summary.typicalTimes.entries.associate { (service, times) ->
                service.value to TimesMessage.of(times)
            },
            capacities = summary.capacities.entries.associate { (target, capacity) ->
                target.value to CapacityMessage.of(capacity)
            },
        )

        private fun timesByGroup(summary: ObservationSummary, target: TargetId): List<TimesMessage> =
            List(TimesKey.GROUPS) { TimesMessage.of(summary.times[TimesKey(target, it)] ?: RelativeTimes()) }

        private fun hundredths(requests: Double): Long = (requests * HUNDREDTHS).roundToLong()

        private fun requests(hundredths: Long): Double = hundredths.coerceIn(0, MAX_HUNDREDTHS) / HUNDREDTHS
    }
}
