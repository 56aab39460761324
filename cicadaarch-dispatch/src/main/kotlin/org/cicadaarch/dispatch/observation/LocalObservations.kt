package org.cicadaarch.dispatch.observation

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.capacity.DecayingTimes
import org.cicadaarch.dispatch.capacity.RelativeTimes
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * What this router observed and has not reported to others yet. Only the latest [MAX_PROMPTS] and [MAX_TARGETS] are
 * kept.
 */
data class LocalObservations(
    private val work: PersistentMap<PromptId, Duration> = persistentMapOf(),
    private val loads: PersistentMap<TargetId, DatedLoad> = persistentMapOf(),
    private val times: PersistentMap<TargetId, DecayingTimes> = persistentMapOf(),
) {
    /** A copy with a request for [prompt] that takes a target [runTime]. */
    fun withRequest(prompt: PromptId, runTime: Duration): LocalObservations {
        val total = (work[prompt] ?: Duration.ZERO) + runTime
        return copy(work = work.remove(prompt).put(prompt, total).keepLatest(MAX_PROMPTS))
    }

    /** A copy with [load], which [target] reported. */
    fun withLoad(target: TargetId, load: DatedLoad): LocalObservations =
        copy(loads = loads.remove(target).put(target, load).keepLatest(MAX_TARGETS))

    /** A copy with the relative response [added] of [target] at [now]. */
    fun withTimes(target: TargetId, added: RelativeTimes, now: Timestamp): LocalObservations {
        val sum = (times[target] ?: DecayingTimes.empty(now)).plus(added, now)
        return copy(times = times.remove(target).put(target, sum).keepLatest(MAX_TARGETS))
    }

    /** The report to other routers at [now]. */
    fun report(now: Timestamp) = ObservationReport(
        work = work,
        loads = loads.mapValues { it.value.aged(now) },
        times = times.mapValues { it.value.at(now) },
    )

    private fun <K, V> PersistentMap<K, V>.keepLatest(count: Int): PersistentMap<K, V> =
        if (size > count) remove(keys.first()) else this

    private companion object {
        const val MAX_PROMPTS = 512
        const val MAX_TARGETS = 1_024
    }
}
