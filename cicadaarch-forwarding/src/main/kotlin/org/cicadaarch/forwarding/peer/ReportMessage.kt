package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.PromptId
import org.cicadaarch.model.TargetId

/**
 * The wire form of [ObservationReport]. The [work] for each prompt is in milliseconds.
 */
@Serializable
internal data class ReportMessage(
    val work: Map<String, Long> = emptyMap(),
    val loads: Map<String, LoadMessage> = emptyMap(),
    val times: Map<String, TimesMessage> = emptyMap(),
) {
    /** Converts the message to the form that the dispatch module uses. */
    fun toReport() = ObservationReport(
        work = work.entries.mapNotNull { (prompt, millis) ->
            PromptId.parse(prompt)?.let { it to limited(millis) }
        }.toMap(),
        loads = loads.entries.associate { (target, load) -> TargetId(target) to load.toLoad() },
        times = times.entries.associate { (target, times) -> TargetId(target) to times.toTimes(MAX_SAMPLES) },
    )

    private fun limited(millis: Long) = millis.coerceIn(0, MAX_WORK.inWholeMilliseconds).milliseconds

    companion object {
        /** More than one router sends for a prompt between two reports. */
        private val MAX_WORK = 60.minutes

        /** So a router that reports nonsense of a target does not outweigh the others. */
        private const val MAX_SAMPLES = 1.0

        /** The message for [report]. */
        fun of(report: ObservationReport) = ReportMessage(
            work = report.work.entries.associate { (prompt, time) -> prompt.toString() to time.inWholeMilliseconds },
            loads = report.loads.entries.associate { (target, load) -> target.value to LoadMessage.of(load) },
            times = report.times.entries.associate { (target, times) -> target.value to TimesMessage.of(times) },
        )
    }
}
