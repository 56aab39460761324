package org.cicadaarch.dispatch.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.cicadaarch.dispatch.quarantine.QuarantineState.ClaimedTrial
import org.cicadaarch.dispatch.quarantine.QuarantineState.KnownRecord
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * The handling of one event: collects the changes of the state and the effects.
 */
internal class QuarantineTransition(
    private var state: QuarantineState,
    private val router: String,
    private val now: Timestamp,
) {
    private val effects = mutableListOf<QuarantineEffect>()
    private val clearanceKey = RecordKeys.clearance(router)

    fun step(): Step<QuarantineState, QuarantineEffect> = Step(state, effects)

    fun attemptLost(process: TargetProcess, traits: Set<RequestTrait>, sentAt: Long) {
        if (traits.isEmpty()) return
        val key = RecordKeys.report(process, router)
        val reported = state.records[key]?.record as? CrashRecord.Report
        if (reported != null) {
            val extended = withAttempt(reported, traits, sentAt)
            if (extended != reported) write(key, extended)
            return
        }
        val lost = state.lostAttempts[process]
            ?: CrashRecord.Report(process, state.logicalTime + 1, sentAt = emptyMap(), proven = emptySet())
        if (lost.sentAt.isEmpty()) effects += QuarantineEffect.CheckTarget(process)
        state = state.copy(lostAttempts = state.lostAttempts.put(process, withAttempt(lost, traits, sentAt)))
    }

    fun targetChecked(process: TargetProcess, isReachable: Boolean) {
        val lost = state.lostAttempts[process] ?: return
        state = state.copy(lostAttempts = state.lostAttempts.remove(process))
        if (isReachable) return
        effects += QuarantineEffect.CrashDetected(lost)
        write(RecordKeys.report(process, router), lost)
    }

    fun attemptCompleted(traits: Set<RequestTrait>, sentAt: Long) {
        state = state.copy(completed = state.completed.with(traits))
        val implicated = traits.filter { it in state.analysis.implicated }
        if (implicated.isEmpty()) return
        val cleared = state.ownClearances.mutate { own -> implicated.forEach { own.raise(it, sentAt) } }
        state = state.copy(ownClearances = cleared)
        if (state.clearanceDueAt == null && implicated.any { isClearanceUseful(it) }) {
            state = state.copy(clearanceDueAt = now + clearanceDelay())
        }
    }

    fun recordsChanged(stored: Map<String, CrashRecord>) {
        val known = state.records
        val next = stored.mapValues { (key, record) ->
            known[key]?.takeIf { it.record == record } ?: KnownRecord(record, now)
        }
        val unseen = state.unseenKeys.filter { stored[it] != known[it]?.record }
        state = state.copy(unseenKeys = unseen.toPersistentSet())
        updateRecords((next + known.filterKeys { it in unseen }).toPersistentMap())
    }

    fun requestRefused(rule: QuarantineRule) {
        if (state.claimedTrial != null || rule !in state.rules) return
        if (TrialSchedule.timeLeft(rule, state.records.values, now).isPositive()) return
        val trial = CrashRecord.Trial(rule.traits, TrialSchedule.nextNumber(rule, state.records.values))
        val key = RecordKeys.trial(trial)
        state = state.copy(claimedTrial = ClaimedTrial(key, rule))
        effects += QuarantineEffect.ClaimTrial(key, trial)
    }

    fun trialClaimed(key: String, isGranted: Boolean) {
        val claimed = state.claimedTrial?.takeIf { it.key == key } ?: return
        state = state.copy(claimedTrial = null)
        if (!isGranted) return
        val trial = CrashRecord.Trial(claimed.rule.traits, TrialSchedule.nextNumber(claimed.rule, state.records.values))
        if (key !in state.records) updateRecords(state.records.put(key, KnownRecord(trial, now)))
        effects += QuarantineEffect.TrialGranted(claimed.rule)
    }

    fun tick() {
        if (state.clearanceDueAt?.let { it <= now } == true) publishClearances()
        val counting = RecordRetention.countingKeys(state.records, now)
        val removable = state.records.filter { (key, known) ->
            key !in counting && RecordRetention.isRemovable(known, RecordKeys.isOwn(key, router), now)
        }.keys
        effects += removable.map { QuarantineEffect.RemoveRecord(it) }
        updateRecords(state.records.mutate { records -> removable.forEach { records.remove(it) } })
    }

    private fun publishClearances() {
        state = state.copy(clearanceDueAt = null)
        val useful = state.ownClearances.keys.filter { isClearanceUseful(it) }
        if (useful.isEmpty()) return
        val published = (state.records[clearanceKey]?.record as? CrashRecord.Clearance)?.clearedUntil.orEmpty().keys
        val stillValid = published.filter { it in state.ownClearances }
        val traits = (useful + stillValid).distinct().take(CrashRecord.MAX_TRAITS)
        write(clearanceKey, CrashRecord.Clearance(traits.associateWith { state.ownClearances.getValue(it) }))
    }

    /** Whether the others should learn that this router saw requests with [trait] complete. */
    private fun isClearanceUseful(trait: RequestTrait): Boolean {
        val clearedUntil = state.ownClearances[trait] ?: return false
        val isHeldAgainst = state.analysis.crashesOf(trait).any { it.logicalTime <= clearedUntil }
        return isHeldAgainst && state.analysis.chainLength(trait) >= CrashAnalysis.REQUIRED_CHAIN - 1
    }

    /** Differs among routers, so that most of them learn from the first that there is nothing left to clear. */
    private fun clearanceDelay(): Duration = CLEARANCE_DELAY_STEP * router.hashCode().mod(CLEARANCE_DELAY_STEPS)

    private fun withAttempt(report: CrashRecord.Report, traits: Set<RequestTrait>, sentAt: Long): CrashRecord.Report {
        val merged = HashMap(report.sentAt)
        traits.forEach { if (it in merged || merged.size < CrashRecord.MAX_TRAITS) merged.raise(it, sentAt) }
        return report.copy(sentAt = merged, proven = merged.keys.filterTo(HashSet()) { it in state.completed })
    }

    private fun write(key: String, record: CrashRecord) {
        effects += QuarantineEffect.WriteRecord(key, record)
        state = state.copy(unseenKeys = state.unseenKeys.add(key))
        updateRecords(state.records.put(key, KnownRecord(record, now)))
    }

    private fun updateRecords(records: PersistentMap<String, KnownRecord>) {
        val counting = RecordRetention.countingKeys(records, now)
        val excess = if (counting.isEmpty()) emptySet() else records.keys - counting
        effects += excess.filter { RecordKeys.isOwn(it, router) }.map { QuarantineEffect.RemoveRecord(it) }
        val analysis = CrashAnalysis(counting.map { records.getValue(it).record })
        val rules = analysis.rules()
        val hasChangedRules = rules != state.rules
        state = state.copy(
            records = records.mutate { kept -> kept.keys.removeAll(excess) },
            unseenKeys = state.unseenKeys.removeAll(excess),
            analysis = analysis,
            rules = rules,
            ownClearances = state.ownClearances.filterKeys { it in analysis.implicated }.toPersistentMap(),
        )
        if (hasChangedRules) effects += QuarantineEffect.RulesChanged(rules)
    }

    private companion object {
        const val CLEARANCE_DELAY_STEPS = 8
        val CLEARANCE_DELAY_STEP = 10.milliseconds
    }
}
