package org.cicadaarch.dispatch.target

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The notices of targets that are in force. They hold for the process that gave them, whatever the list of targets says
 * of it meanwhile, and end with another process under its id. Only the latest [MAX_TARGETS] are kept.
 */
data class TargetNotices(private val byTarget: PersistentMap<TargetId, InForce> = persistentMapOf()) {
    /** A copy with [notice], which [entry] gave at [now]. The longest of several back-offs stays in force. */
    fun with(entry: TargetEntry, notice: TargetNotice, now: Timestamp): TargetNotices {
        val before = byTarget[entry.id]?.takeIf { it.startedAtMillis == entry.startedAtMillis }
        val backOffUntil = notice.backOff?.let { now + it.coerceAtMost(MAX_BACK_OFF) }
        val next = InForce(
            startedAtMillis = entry.startedAtMillis,
            isDraining = notice.isDraining || before?.isDraining == true,
            backOffUntil = listOfNotNull(before?.backOffUntil, backOffUntil).maxOrNull(),
        )
        val updated = byTarget.remove(entry.id).put(entry.id, next)
        return TargetNotices(if (updated.size > MAX_TARGETS) updated.remove(updated.keys.first()) else updated)
    }

    /** Whether the process with [entry] neither leaves, as far as it says itself, nor backs off at [now]. */
    fun wantsRequests(entry: TargetEntry, now: Timestamp): Boolean {
        val inForce = of(entry) ?: return true
        return !inForce.isDraining && inForce.backOffUntil.let { it == null || it <= now }
    }

    /** When the first of [entries] ends its back-off; null if one wants requests at [now] or all are draining. */
    fun backOffEnd(entries: Collection<TargetEntry>, now: Timestamp): Timestamp? {
        val staying = entries.filter { !it.isDraining && of(it)?.isDraining != true }
        if (staying.any { wantsRequests(it, now) }) return null
        return staying.mapNotNull { of(it)?.backOffUntil }.minOrNull()
    }

    /** When the next back-off ends after [now], or null if none is in force. */
    fun nextBackOffEnd(now: Timestamp): Timestamp? =
        byTarget.values.mapNotNull { it.backOffUntil }.filter { it > now }.minOrNull()

    private fun of(entry: TargetEntry): InForce? =
        byTarget[entry.id]?.takeIf { it.startedAtMillis == entry.startedAtMillis }

    /** The notices of the process that started at [startedAtMillis]. */
    data class InForce(val startedAtMillis: Long, val isDraining: Boolean, val backOffUntil: Timestamp?)

    private companion object {
        const val MAX_TARGETS = 1_024

        /** A longer back-off would take a target out of service by a mistake of its own. */
        val MAX_BACK_OFF: Duration = 60.seconds
    }
}
