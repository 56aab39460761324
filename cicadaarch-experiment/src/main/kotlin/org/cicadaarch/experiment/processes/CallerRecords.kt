package org.cicadaarch.experiment.processes

import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.testkit.oracle.CallerRecord
import org.cicadaarch.testkit.oracle.TargetLog

/**
 * Turns what callers saw into the records that the oracle judges, one for each send that reached a router.
 *
 * - A send with an outcome is recorded as it was told, under the answer's request identity.
 * - A broken send is recorded as `may-have-run`, which claims nothing, when its router was killed or paused while it
 *   was open: its caller can't know more. Any other broken send has no excuse and is recorded without an outcome, which
 *   the oracle calls lost. A refused connection reached no router and makes no record.
 * - An operation that is not over, or whose caller gave up without ever being told an outcome, adds a record without an
 *   outcome, save one without a key after an excused break, which its caller must not repeat.
 * - A send that broke before the head of its answer has no identity. It takes that of a run that no other send
 *   accounts for, of the same key, or of the same service without a key. Runs that are left over stay unknown to the
 *   oracle, so that nothing can run that nobody sent; a key's resends are judged together whichever send gets a run.
 */
internal class CallerRecords(private val serviceOf: (TargetLog) -> String, private val logs: List<TargetLog>) {
    /** The records of all [operations]. */
    fun of(operations: List<ScenarioOperation>): List<CallerRecord> {
        val known = operations.flatMap { operation -> operation.sends.mapNotNull { it.answer.request?.value } }.toSet()
        val unclaimed = unclaimedRuns(known)
        return operations.flatMap { operation ->
            operation.sends
                .filter { it.answer.isSent }
                .mapIndexed { index, send -> record(operation.request, index, send, unclaimed) } + lost(operation)
        }
    }

    private fun unclaimedRuns(known: Set<String>): Map<RunGroup, ArrayDeque<String>> = logs
        .flatMap { log ->
            log.runs.map {
                RunGroup(serviceOf(log), it.idempotencyKey?.let(::IdempotencyKey)) to
                    it.request
            }
        }
        .mapNotNull { (group, request) -> request?.takeIf { it !in known }?.let { group to it } }
        .distinct()
        .groupBy(keySelector = { it.first }, valueTransform = { it.second })
        .mapValues { ArrayDeque(it.value) }

    private fun record(
        request: ScenarioRequest,
        index: Int,
        send: Send,
        unclaimed: Map<RunGroup, ArrayDeque<String>>,
    ): CallerRecord {
        val group = RunGroup(request.service, (request.idempotency as? Idempotency.Keyed)?.key)
        val found = send.answer.request?.value
            ?: unclaimed[group]?.takeIf { send.answer.outcome == null }?.removeFirstOrNull()
        return record(
            request = request,
            identity = found ?: "${request.kind.label}-${request.number}-send-$index",
            outcome = send.answer.outcome ?: Outcome.MAY_HAVE_RUN.takeIf { send.isExcused },
            answer = send.answer.text,
        )
    }

    private fun lost(operation: ScenarioOperation): List<CallerRecord> {
        val isUntold = operation.sends.all { it.answer.outcome == null }
        val mayNotRepeat = operation.request.idempotency == Idempotency.Keyless &&
            operation.sends.lastOrNull()?.let { it.answer.isSent && it.isExcused } == true
        if (operation.isOver && (!isUntold || mayNotRepeat)) return emptyList()
        val identity = "${operation.request.kind.label}-${operation.request.number}"
        return listOf(record(operation.request, identity, outcome = null, answer = ""))
    }

    private fun record(request: ScenarioRequest, identity: String, outcome: Outcome?, answer: String) = CallerRecord(
        request = RequestId(identity),
        account = request.account,
        idempotency = request.idempotency,
        outcome = outcome,
        answer = answer,
        expectedAnswer = request.expectedAnswer,
    )

    private data class RunGroup(val service: String, val key: IdempotencyKey?)
}
