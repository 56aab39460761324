package org.cicadaarch.dispatch.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.quarantine.QuarantineState.KnownRecord
import org.cicadaarch.model.Timestamp

/**
 * When one request may be sent despite a rule, to learn whether it still crashes targets. The delay grows with each
 * trial, so that a request which does crash them ends few more.
 */
internal object TrialSchedule {
    /** The time between the last crash that a rule is about and its first trial. */
    val FIRST_DELAY = 10.seconds
    private const val DELAY_FACTOR = 6
    private const val MAX_EXPONENT = 4

    /** The number of the next trial of [rule]. */
    fun nextNumber(rule: QuarantineRule, records: Collection<KnownRecord>): Int =
        1 + (trialsOf(rule, records).maxOfOrNull { it.number } ?: 0)

    /** How long before the next trial of [rule], or zero if it is due at [now]. */
    fun timeLeft(rule: QuarantineRule, records: Collection<KnownRecord>, now: Timestamp): Duration {
        val delay = (1 until nextNumber(rule, records).coerceAtMost(MAX_EXPONENT))
            .fold(FIRST_DELAY) { delay, _ -> delay * DELAY_FACTOR }
        val since = records.filter { isAbout(rule, it.record) }.maxOfOrNull { it.since } ?: return Duration.ZERO
        return (since + delay - now).coerceAtLeast(Duration.ZERO)
    }

    private fun trialsOf(rule: QuarantineRule, records: Collection<KnownRecord>): List<CrashRecord.Trial> =
        records.mapNotNull { it.record as? CrashRecord.Trial }.filter { it.traits == rule.traits }

    private fun isAbout(rule: QuarantineRule, record: CrashRecord): Boolean = when (record) {
        is CrashRecord.Report -> record.sentAt.keys.containsAll(rule.traits)
        is CrashRecord.Trial -> record.traits == rule.traits
        is CrashRecord.Clearance -> false
    }
}
