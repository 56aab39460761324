package org.cicadaarch.experiment.processes

import kotlin.test.Test
import kotlin.test.assertEquals
import org.cicadaarch.experiment.demonstration.CallerAnswer
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.TargetId
import org.cicadaarch.testkit.RunRecord
import org.cicadaarch.testkit.oracle.OutcomeOracle
import org.cicadaarch.testkit.oracle.TargetLog
import org.cicadaarch.testkit.oracle.Violation
import org.cicadaarch.testkit.scenario.LoadKind

class ScenarioRecordsTest {
    @Test
    fun `Given sends and runs, when the oracle judges their records, then it finds just what was broken`() {
        (breaks() + answers()).forEach { case ->
            val logs = case.runs.mapIndexed { index, run -> TargetLog(TargetId("desk-$index"), listOf(run)) }
            val records = CallerRecords(serviceOf = { "desk" }, logs = logs).of(listOf(case.operation))
            val found = OutcomeOracle.violations(records, logs).map { it::class }
            assertEquals(case.expected, found, case.name)
        }
    }

    private fun breaks() = listOf(
        Case(
            name = "the router was killed, the resend is told already-run",
            operation = keyed(broken(isExcused = true), told("b", Outcome.ALREADY_RUN)),
            runs = listOf(run("a", KEY)),
            expected = emptyList(),
        ),
        Case(
            name = "the router was killed and the resend ran as well",
            operation = keyed(broken(isExcused = true), told("b", Outcome.COMPLETED, ANSWER)),
            runs = listOf(run("a", KEY), run("b", KEY)),
            expected = listOf(Violation.Doubled::class),
        ),
        Case(
            name = "a send broke although its router had no fault",
            operation = keyed(broken(isExcused = false), told("b", Outcome.COMPLETED, ANSWER)),
            runs = listOf(run("b", KEY)),
            expected = listOf(Violation.Lost::class),
        ),
        Case(
            name = "no send was ever told an outcome",
            operation = keyed(broken(isExcused = true), broken(isExcused = true)),
            runs = emptyList(),
            expected = listOf(Violation.Lost::class),
        ),
        Case(
            name = "a request without a key broke with its router and ran once",
            operation = operation(Idempotency.Keyless, broken(isExcused = true)),
            runs = listOf(run("a", key = null)),
            expected = emptyList(),
        ),
        Case(
            name = "a request without a key broke with its router and ran twice",
            operation = operation(Idempotency.Keyless, broken(isExcused = true)),
            runs = listOf(run("a", key = null), run("a", key = null)),
            expected = listOf(Violation.Doubled::class),
        ),
    )

    private fun answers() = listOf(
        Case(
            name = "something ran that nobody sent",
            operation = keyed(told("b", Outcome.COMPLETED, ANSWER)),
            runs = listOf(run("b", KEY), run("a", key = null)),
            expected = listOf(Violation.Unknown::class),
        ),
        Case(
            name = "a request that is said not to have run has run",
            operation = keyed(told("b", Outcome.NOT_RUN)),
            runs = listOf(run("b", KEY)),
            expected = listOf(Violation.FalseNotRun::class),
        ),
        Case(
            name = "the caller still waits",
            operation = keyed(told("b", Outcome.NOT_RUN)).copy(isOver = false),
            runs = emptyList(),
            expected = listOf(Violation.Lost::class),
        ),
        Case(
            name = "the answer is another request's",
            operation = keyed(told("b", Outcome.COMPLETED, "another")),
            runs = listOf(run("b", KEY)),
            expected = listOf(Violation.Foreign::class),
        ),
    )

    private fun keyed(vararg sends: Send) = operation(Idempotency.Keyed(IdempotencyKey(KEY)), *sends)

    private fun operation(idempotency: Idempotency, vararg sends: Send) = ScenarioOperation(
        request = ScenarioRequest(
            kind = LoadKind.KEYED_CALLS,
            number = 1,
            service = "desk",
            account = AccountId("account"),
            idempotency = idempotency,
            body = "body",
            expectedAnswer = ANSWER,
        ),
        sends = sends.toList(),
        isOver = true,
    )

    private fun told(request: String, outcome: Outcome, text: String = "") = Send(
        answer = CallerAnswer(outcome, text, firstByteMilliseconds = null, request = RequestId(request)),
        isExcused = false,
    )

    private fun broken(isExcused: Boolean) =
        Send(CallerAnswer(outcome = null, text = "", firstByteMilliseconds = null), isExcused)

    private fun run(request: String, key: String?) =
        RunRecord(request = request, attempt = "1", idempotencyKey = key, started = 0)

    private data class Case(
        val name: String,
        val operation: ScenarioOperation,
        val runs: List<RunRecord>,
        val expected: List<kotlin.reflect.KClass<out Violation>>,
    )

    private companion object {
        const val KEY = "key-1"
        const val ANSWER = "whole answer"
    }
}
