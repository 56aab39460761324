package org.cicadaarch.dispatch.quarantine

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.cicadaarch.model.Timestamp

/**
 * What one router knows of crashes of targets, and the [rules] by which it holds requests back.
 *
 * [unseenKeys] are those of its own records whose latest form it has not read from the store yet. [lostAttempts] wait
 * for the check of their target. [ownClearances] are the traits that this router saw complete after a crash, and
 * [clearanceDueAt] is when it tells the others. [claimedTrial] is the trial whose claim the store has not answered.
 */
data class QuarantineState(
    val records: PersistentMap<String, KnownRecord> = persistentMapOf(),
    val unseenKeys: PersistentSet<String> = persistentSetOf(),
    val lostAttempts: PersistentMap<TargetProcess, CrashRecord.Report> = persistentMapOf(),
    val completed: RecentTraits = RecentTraits(),
    val ownClearances: PersistentMap<RequestTrait, Long> = persistentMapOf(),
    val clearanceDueAt: Timestamp? = null,
    val claimedTrial: ClaimedTrial? = null,
    val analysis: CrashAnalysis = CrashAnalysis(emptyList()),
    val rules: List<QuarantineRule> = emptyList(),
) {
    /** The greatest logical time of a crash that this router knows. */
    val logicalTime: Long get() = maxOf(analysis.latestTime, lostAttempts.values.maxOfOrNull { it.logicalTime } ?: 0)

    /** The number of records of crashes that are known. */
    val recordCount: Int get() = records.size

    /**
     * Whether an attempt with [traits] that was lost at [process] may have caused that: one of the traits was in flight
     * at an earlier crash too, and no request with it has completed lately.
     */
    fun isSuspect(traits: Set<RequestTrait>, process: TargetProcess): Boolean = traits.any { trait ->
        trait !in completed && (
            analysis.crashesOf(trait).any { it.process != process } ||
                lostAttempts.any { (lostAt, lost) -> lostAt != process && trait in lost.sentAt }
            )
    }

    /** A [record], known [since]. */
    data class KnownRecord(val record: CrashRecord, val since: Timestamp)

    /** The trial of [rule] that was claimed at [key]. */
    data class ClaimedTrial(val key: String, val rule: QuarantineRule)
}
