package org.cicadaarch.testkit.scenario

import arrow.core.left
import arrow.core.right
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.testkit.StoreFault
import org.cicadaarch.testkit.TargetFault
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class ScenarioParserTest {
    @ParameterizedTest
    @MethodSource("actions")
    fun `Given a line, when it is parsed, then it is the action and writes itself back`(case: ActionCase) {
        val expected = Scenario(listOf(TimedAction(case.time, case.action)), expectations = emptyList())
        assertEquals(expected.right(), ScenarioParser.parse(case.line))
        assertEquals(expected.right(), ScenarioParser.parse(expected.toString()))
    }

    @ParameterizedTest
    @MethodSource("expectations")
    fun `Given an expectation, when it is parsed, then it judges the figure`(case: ExpectationCase) {
        val expected = Scenario(actions = emptyList(), listOf(case.expected))
        assertEquals(expected.right(), ScenarioParser.parse(case.line))
        assertEquals(expected.right(), ScenarioParser.parse(expected.toString()))
        assertEquals(case.holdsFor, listOf(0.0, 1.5, 2.0).filter { case.expected.holds(it) })
    }

    @ParameterizedTest
    @MethodSource("errors")
    fun `Given a wrong line, when it is parsed, then the error names the line and the reason`(case: ErrorCase) {
        val error = ScenarioError(line = 2, text = case.line, reason = case.reason)
        assertEquals(listOf(error).left(), ScenarioParser.parse("load chats 1 over 1s\n${case.line}\nexpect lost 0"))
    }

    @Test
    fun `Given several wrong lines, when they are parsed, then each is named`() {
        val errors = ScenarioParser.parse("# a comment\nat 2s\n\nexpect\n").leftOrNull().orEmpty()
        assertEquals(listOf(2, 4), errors.map { it.line })
    }

    @Test
    fun `Given the text and the builder, when both tell the same scenario, then they are equal`() {
        val built = scenario {
            load(LoadKind.CHATS, count = 200, over = 10.seconds)
            at(2.seconds, ScenarioAction.Kill(router(3)))
            at(5.seconds, ScenarioAction.FaultStore(StoreFault(StoreFault.Mode.DOWN)))
            expect(Measure.LOST, Expectation.Bound.EXACTLY, figure = 0.0)
        }
        val text =
            """
            # A router and the store fail.
            load chats 200 over 10s

            at 2s kill router 3   # at once
            at 5s store down
            expect lost 0
            """.trimIndent()
        assertEquals(built.right(), ScenarioParser.parse(text))
    }

    data class ActionCase(val line: String, val action: ScenarioAction, val time: Duration = 2.seconds)

    data class ExpectationCase(val line: String, val expected: Expectation, val holdsFor: List<Double>)

    data class ErrorCase(val line: String, val reason: String)

    companion object {
        private fun target(process: ProcessName, mode: TargetFault.Mode, text: String = "", factor: Double = 1.0) =
            ScenarioAction.FaultTarget(process, TargetFault(mode, text, factor))

        private fun store(mode: StoreFault.Mode, delayMilliseconds: Long = 0) =
            ScenarioAction.FaultStore(StoreFault(mode, delayMilliseconds))

        @JvmStatic
        fun actions(): List<ActionCase> = listOf(
            ActionCase("at 2s kill router 3", ScenarioAction.Kill(router(3))),
            ActionCase("at 2s freeze engine 1", ScenarioAction.Freeze(engine(1))),
            ActionCase("at 2s resume engine 1", ScenarioAction.Resume(engine(1))),
            ActionCase("at 2s stop service 4", ScenarioAction.Stop(service(4))),
            ActionCase("at 2s start router 3", ScenarioAction.Start(router(3))),
            ActionCase("at 2s store up", store(StoreFault.Mode.UP)),
            ActionCase("at 2s store down", store(StoreFault.Mode.DOWN)),
            ActionCase("at 2s store slow 200ms", store(StoreFault.Mode.SLOW, delayMilliseconds = 200)),
            ActionCase("at 2s store lose-answers", store(StoreFault.Mode.LOSE_ANSWERS)),
            ActionCase("at 2s engine 2 normal", target(engine(2), TargetFault.Mode.NORMAL)),
            ActionCase("at 2s service 2 silent", target(service(2), TargetFault.Mode.SILENT)),
            ActionCase("at 2s engine 2 slow 2.5", target(engine(2), TargetFault.Mode.SLOW, factor = 2.5)),
            ActionCase("at 2s engine 2 crash-on two words", target(engine(2), TargetFault.Mode.CRASH_ON, "two words")),
            ActionCase("at 2s preset peak", ScenarioAction.SwitchPreset("peak")),
            ActionCase(
                line = "at 1500ms load keyed-calls 5 over 2m",
                action = ScenarioAction.Load(LoadKind.KEYED_CALLS, count = 5, duration = 120.seconds),
                time = 1500.milliseconds,
            ),
            ActionCase(
                line = "load keyless-calls 5 over 1s",
                action = ScenarioAction.Load(LoadKind.KEYLESS_CALLS, count = 5, duration = 1.seconds),
                time = Duration.ZERO,
            ),
        )

        @JvmStatic
        fun expectations(): List<ExpectationCase> = listOf(
            ExpectationCase("expect lost 0", Expectation(Measure.LOST, Expectation.Bound.EXACTLY, 0.0), listOf(0.0)),
            ExpectationCase(
                "expect skew at-most 1.5",
                Expectation(Measure.SKEW, Expectation.Bound.AT_MOST, 1.5),
                listOf(0.0, 1.5),
            ),
            ExpectationCase(
                line = "expect completed at-least 2",
                expected = Expectation(Measure.COMPLETED, Expectation.Bound.AT_LEAST, 2.0),
                holdsFor = listOf(2.0),
            ),
        )

        @JvmStatic
        fun errors(): List<ErrorCase> = listOf(
            ErrorCase("after 2s kill router 3", "unknown step after"),
            ErrorCase("at", "a time is missing"),
            ErrorCase("at soon kill router 3", "soon is not a time"),
            ErrorCase("at -2s kill router 3", "-2s is not a time"),
            ErrorCase("at 2s", "an action is missing"),
            ErrorCase("at 2s push router 3", "unknown action push"),
            ErrorCase("at 2s kill broker 3", "broker is not a process"),
            ErrorCase("at 2s kill router", "a number is missing"),
            ErrorCase("at 2s kill router 0", "0 is not a number above zero"),
            ErrorCase("at 2s kill router 3 now", "unexpected now"),
            ErrorCase("at 2s store gone", "unknown store fault gone"),
            ErrorCase("at 2s engine 2 gone", "unknown target fault gone"),
            ErrorCase("at 2s engine 2 crash-on", "a text is missing"),
            ErrorCase("load chats 200 10s", "over is missing"),
            ErrorCase("load songs 200 over 10s", "songs is not a kind of load"),
            ErrorCase("expect joy 0", "joy is not a measure"),
            ErrorCase("expect lost none", "none is not a figure"),
            ErrorCase("expect lost 0 0", "unexpected 0"),
        )
    }
}
