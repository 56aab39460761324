package org.cicadaarch.testkit.oracle

import kotlin.test.assertEquals
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.TargetId
import org.cicadaarch.testkit.RunRecord
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class OutcomeOracleTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `Given the callers' records and the targets' logs, when they are judged, then each violation is named`(
        case: Case,
    ) {
        assertEquals(case.violations, OutcomeOracle.violations(case.callers, case.targets))
    }

    data class Case(
        val name: String,
        val callers: List<CallerRecord>,
        val targets: List<TargetLog>,
        val violations: List<Violation>,
    ) {
        override fun toString(): String = name
    }

    companion object {
        private val one = RequestId("one")
        private val two = RequestId("two")
        private val first = TargetId("first")
        private val second = TargetId("second")
        private val keyed = Idempotency.Keyed(IdempotencyKey("key"))

        private fun record(
            request: RequestId = one,
            account: String = "grower",
            idempotency: Idempotency = Idempotency.Idempotent,
            outcome: Outcome? = Outcome.COMPLETED,
            answer: String = "text of ${request.value}",
        ) = CallerRecord(
            request,
            AccountId(account),
            idempotency,
            outcome,
            answer,
            expectedAnswer = "text of ${request.value}",
        )

        private fun log(target: TargetId, vararg requests: String?) =
            TargetLog(target, requests.map { RunRecord(request = it, attempt = "1", started = 0) })

        private val soundCases = listOf(
            Case("nothing sent", emptyList(), emptyList(), emptyList()),
            Case(
                name = "completed on one target",
                callers = listOf(record()),
                targets = listOf(log(first, "one"), log(second)),
                violations = emptyList(),
            ),
            Case(
                name = "an idempotent request that ran on two targets",
                callers = listOf(record()),
                targets = listOf(log(first, "one"), log(second, "one")),
                violations = emptyList(),
            ),
            Case(
                name = "a true refusal",
                callers = listOf(record(outcome = Outcome.NOT_RUN, answer = "")),
                targets = listOf(log(first)),
                violations = emptyList(),
            ),
            Case(
                name = "part of the own answer without a claim to be whole",
                callers = listOf(record(idempotency = keyed, outcome = Outcome.MAY_HAVE_RUN, answer = "text")),
                targets = listOf(log(first, "one")),
                violations = emptyList(),
            ),
            Case(
                name = "a resend with the same key that did not run again",
                callers = listOf(
                    record(idempotency = keyed),
                    record(two, idempotency = keyed, outcome = Outcome.ALREADY_RUN, answer = ""),
                ),
                targets = listOf(log(first, "one")),
                violations = emptyList(),
            ),
            Case(
                name = "two accounts that use the same key",
                callers = listOf(record(idempotency = keyed), record(two, account = "other", idempotency = keyed)),
                targets = listOf(log(first, "one"), log(second, "two")),
                violations = emptyList(),
            ),
        )

        private val violationCases = listOf(
            Case(
                name = "no outcome",
                callers = listOf(record(outcome = null, answer = "")),
                targets = emptyList(),
                violations = listOf(Violation.Lost(one)),
            ),
            Case(
                name = "a keyless request that ran on two targets",
                callers = listOf(record(idempotency = Idempotency.Keyless)),
                targets = listOf(log(first, "one"), log(second, "one")),
                violations = listOf(Violation.Doubled(listOf(one), listOf(first, second))),
            ),
            Case(
                name = "a keyed request that ran twice on one target",
                callers = listOf(record(idempotency = keyed)),
                targets = listOf(log(first, "one", "one")),
                violations = listOf(Violation.Doubled(listOf(one), listOf(first, first))),
            ),
            Case(
                name = "a resend with the same key that ran again",
                callers = listOf(record(idempotency = keyed), record(two, idempotency = keyed)),
                targets = listOf(log(first, "one"), log(second, "two")),
                violations = listOf(Violation.Doubled(listOf(one, two), listOf(first, second))),
            ),
            Case(
                name = "a refusal of a request that ran",
                callers = listOf(record(outcome = Outcome.NOT_RUN, answer = "")),
                targets = listOf(log(first), log(second, "one")),
                violations = listOf(Violation.FalseNotRun(one, listOf(second))),
            ),
            Case(
                name = "a completed answer without its end",
                callers = listOf(record(answer = "text")),
                targets = listOf(log(first, "one")),
                violations = listOf(Violation.Incomplete(one)),
            ),
            Case(
                name = "a completed answer without any text",
                callers = listOf(record(answer = "")),
                targets = listOf(log(first, "one")),
                violations = listOf(Violation.Incomplete(one)),
            ),
            Case(
                name = "the answer of another request",
                callers = listOf(record(answer = "text of two"), record(two)),
                targets = listOf(log(first, "one", "two")),
                violations = listOf(Violation.Foreign(one, owner = two)),
            ),
            Case(
                name = "part of another request's answer without a claim to be whole",
                callers = listOf(record(outcome = Outcome.MAY_HAVE_RUN, answer = "text of t"), record(two)),
                targets = listOf(log(first, "one", "two")),
                violations = listOf(Violation.Foreign(one, owner = two)),
            ),
            Case(
                name = "an answer with a part twice",
                callers = listOf(record(answer = "text of of one")),
                targets = listOf(log(first, "one")),
                violations = listOf(Violation.Foreign(one, owner = null)),
            ),
            Case(
                name = "runs that nobody sent",
                callers = listOf(record()),
                targets = listOf(log(first, "one", "two"), log(second, null)),
                violations = listOf(Violation.Unknown(two, first), Violation.Unknown(null, second)),
            ),
        )

        @JvmStatic
        fun cases(): List<Case> = soundCases + violationCases
    }
}
