package org.cicadaarch.forwarding.quarantine

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.quarantine.CrashRecord
import org.cicadaarch.dispatch.quarantine.QuarantineEffect
import org.cicadaarch.dispatch.quarantine.QuarantineEvent
import org.cicadaarch.dispatch.quarantine.QuarantineReducer
import org.cicadaarch.dispatch.quarantine.QuarantineRule
import org.cicadaarch.dispatch.quarantine.QuarantineState
import org.cicadaarch.dispatch.quarantine.RequestTrait
import org.cicadaarch.dispatch.quarantine.TargetProcess
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.logging.LogEvents

/**
 * Runs the quarantine reducer of the router with the name [router] and executes its effects. [checkTarget] tries to
 * connect to a target and reports whether it is reachable. All functions must be called in tasks of [scheduler].
 */
internal class QuarantineManager(
    router: String,
    private val recordStore: CrashRecordStore,
    private val recordReader: CrashRecordReader,
    private val scheduler: TaskScheduler,
    private val checkTarget: (TargetEntry, (Boolean) -> Unit) -> Unit,
) {
    private val reducer = QuarantineReducer(router)
    private val lostTargets = HashMap<TargetProcess, TargetEntry>()
    private var cancelTick: () -> Unit = {}

    /** The state of the quarantine reducer. */
    var state = QuarantineState()
        private set

    /** Called with the rules in force each time they change. */
    var onRulesChanged: (List<QuarantineRule>) -> Unit = {}

    /** Called when the next request that a rule holds back may be sent nevertheless. */
    var onTrialGranted: (QuarantineRule) -> Unit = {}

    /** The logical time that an attempt sent now has. */
    val logicalTime: Long get() = state.logicalTime

    /** Handles a change of the [values] under the prefix of the records. */
    fun recordsChanged(values: Map<String, String>) = submit(QuarantineEvent.RecordsChanged(recordReader.read(values)))

    /**
     * Handles the loss of the connection of an attempt with [traits] on [target], which was sent at the logical time
     * [sentAt]. Returns whether the request may be the reason.
     */
    fun attemptLost(target: TargetEntry, traits: Set<RequestTrait>, sentAt: Long): Boolean {
        val process = TargetProcess(target.id, target.startedAtMillis)
        val isSuspect = state.isSuspect(traits, process)
        lostTargets[process] = target
        submit(QuarantineEvent.AttemptLost(process, traits, sentAt))
        lostTargets.remove(process)
        return isSuspect
    }

    /** Handles the complete and successful response to an attempt with [traits], sent at the logical time [sentAt]. */
    fun attemptCompleted(traits: Set<RequestTrait>, sentAt: Long) =
        submit(QuarantineEvent.AttemptCompleted(traits, sentAt))

    /** Handles the refusal of a request because of [rule]. */
    fun requestRefused(rule: QuarantineRule) = submit(QuarantineEvent.RequestRefused(rule))

    private fun submit(event: QuarantineEvent) {
        val before = state
        val step = reducer.reduce(before, event, scheduler.now())
        state = step.state
        step.effects.forEach { execute(it, before) }
        val hasOtherTimes = state.clearanceDueAt != before.clearanceDueAt || state.records !== before.records
        if (hasOtherTimes || event is QuarantineEvent.Tick) scheduleTick()
    }

    private fun execute(effect: QuarantineEffect, before: QuarantineState) {
        when (effect) {
            is QuarantineEffect.CheckTarget -> check(effect.process)

            is QuarantineEffect.CrashDetected -> logCrash(effect.report)

            is QuarantineEffect.WriteRecord -> recordStore.write(effect.key, effect.record)

            is QuarantineEffect.ClaimTrial -> recordStore.claim(effect.key, effect.trial) {
                submit(QuarantineEvent.TrialClaimed(effect.key, it))
            }

            is QuarantineEffect.RemoveRecord -> recordStore.remove(effect.key)

            is QuarantineEffect.RulesChanged -> {
                logRules(before = before.rules, after = effect.rules)
                onRulesChanged(effect.rules)
            }

            is QuarantineEffect.TrialGranted -> {
                LogEvents.info("quarantine-trial") { "traits" to listed(effect.rule.traits) }
                onTrialGranted(effect.rule)
            }
        }
    }

    private fun check(process: TargetProcess) {
        val target = lostTargets[process] ?: return
        val startedAt = scheduler.now()
        checkTarget(target) { isReachable ->
            LogEvents.info("target-checked") {
                "target" to process.target
                "startedAt" to process.startedAtMillis
                "reachable" to isReachable
                "millis" to (scheduler.now() - startedAt).inWholeMilliseconds
            }
            scheduler.execute { submit(QuarantineEvent.TargetChecked(process, isReachable)) }
        }
    }

    private fun scheduleTick() {
        cancelTick()
        val now = scheduler.now()
        val next = reducer.nextTick(state, now) ?: return
        cancelTick = scheduler.schedule(maxOf(next - now, MIN_TICK_DELAY)) { submit(QuarantineEvent.Tick) }
    }

    private fun logCrash(report: CrashRecord.Report) = LogEvents.warn("target-crashed") {
        "target" to report.process.target
        "startedAt" to report.process.startedAtMillis
        "logicalTime" to report.logicalTime
        "traits" to listed(report.sentAt.keys)
        "unproven" to listed(report.sentAt.keys - report.proven)
    }

    private fun logRules(before: List<QuarantineRule>, after: List<QuarantineRule>) {
        (after - before.toSet()).forEach { rule ->
            LogEvents.warn("requests-held-back") {
                "traits" to listed(rule.traits)
                "crashes" to rule.crashCount
            }
        }
        val traits = after.map { it.traits }
        before.filter { it.traits !in traits }.forEach { rule ->
            LogEvents.warn("requests-released") { "traits" to listed(rule.traits) }
        }
    }

    private fun listed(traits: Set<RequestTrait>): String {
        val shown = traits.sorted().take(MAX_LISTED_TRAITS).joinToString(separator = ",")
        return if (traits.size > MAX_LISTED_TRAITS) "$shown,+${traits.size - MAX_LISTED_TRAITS}" else shown
    }

    private companion object {
        const val MAX_LISTED_TRAITS = 16
        val MIN_TICK_DELAY = 1.milliseconds
    }
}
