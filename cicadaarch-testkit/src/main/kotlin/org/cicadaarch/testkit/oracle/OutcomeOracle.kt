package org.cicadaarch.testkit.oracle

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.TargetId

/**
 * Judges from outside whether callers were told the truth: compares what they saw with what the targets ran.
 */
object OutcomeOracle {
    /** All violations in the records of [callers] and the logs of all [targets], when both are over. */
    fun violations(callers: List<CallerRecord>, targets: List<TargetLog>): List<Violation> {
        val runs = runsByRequest(targets)
        return lost(callers) +
            doubled(callers, runs) +
            falselyNotRun(callers, runs) +
            incomplete(callers) +
            foreign(callers) +
            unknown(callers, runs)
    }

    private fun runsByRequest(targets: List<TargetLog>): Map<RequestId?, List<TargetId>> = targets
        .flatMap { log -> log.runs.map { run -> run.request?.let(::RequestId) to log.target } }
        .groupBy(keySelector = { it.first }, valueTransform = { it.second })

    private fun lost(callers: List<CallerRecord>): List<Violation> =
        callers.filter { it.outcome == null }.map { Violation.Lost(it.request) }

    // Requests of one account with one idempotency key are resends of one another and share a single permission to run.
    private fun doubled(callers: List<CallerRecord>, runs: Map<RequestId?, List<TargetId>>): List<Violation> {
        val keyless = callers.filter { it.idempotency is Idempotency.Keyless }.map { listOf(it.request) }
        val keyed = callers.mapNotNull { record -> keyOf(record)?.let { it to record.request } }
            .groupBy(keySelector = { it.first }, valueTransform = { it.second })
        return (keyless + keyed.values)
            .map { it.distinct() }
            .map { requests -> Violation.Doubled(requests, requests.flatMap { runs[it].orEmpty() }) }
            .filter { it.targets.size > 1 }
    }

    private fun keyOf(record: CallerRecord): Pair<AccountId, IdempotencyKey>? =
        (record.idempotency as? Idempotency.Keyed)?.let { record.account to it.key }

    private fun falselyNotRun(callers: List<CallerRecord>, runs: Map<RequestId?, List<TargetId>>): List<Violation> =
        callers
            .filter { it.outcome == Outcome.NOT_RUN }
            .mapNotNull { record -> runs[record.request]?.let { Violation.FalseNotRun(record.request, it) } }

    private fun incomplete(callers: List<CallerRecord>): List<Violation> = callers
        .filter { it.outcome == Outcome.COMPLETED }
        .filter { it.expectedAnswer.startsWith(it.answer) && it.answer != it.expectedAnswer }
        .map { Violation.Incomplete(it.request) }

    private fun foreign(callers: List<CallerRecord>): List<Violation> = callers
        .filterNot { it.expectedAnswer.startsWith(it.answer) }
        .map { record -> Violation.Foreign(record.request, ownerOf(record.answer, callers)) }

    private fun ownerOf(answer: String, callers: List<CallerRecord>): RequestId? =
        callers.firstOrNull { it.expectedAnswer.startsWith(answer) }?.request

    private fun unknown(callers: List<CallerRecord>, runs: Map<RequestId?, List<TargetId>>): List<Violation> {
        val sent = callers.map { it.request }.toSet()
        return runs
            .filterKeys { it !in sent }
            .flatMap { (request, targets) -> targets.map { Violation.Unknown(request, it) } }
    }
}
