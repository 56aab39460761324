package org.cicadaarch.testkit.scenario

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.testkit.TargetFault

class ScenarioRunnerTest {
    @Test
    fun `Given steps out of order, when the scenario runs, then they come by time and failures are listed`() {
        val scenario = scenario {
            at(3.seconds, ScenarioAction.Resume(router(1)))
            at(1.seconds, ScenarioAction.Freeze(router(1)))
            at(2.seconds, ScenarioAction.FaultTarget(engine(2), TargetFault(TargetFault.Mode.SILENT)))
            load(LoadKind.CHATS, count = 4, over = 2.seconds)
            expect(Measure.LOST, Expectation.Bound.EXACTLY, figure = 7.0)
            expect(Measure.DOUBLED, Expectation.Bound.EXACTLY, figure = 0.0)
        }
        val target = RecordingTarget()
        val failed = ScenarioRunner(target, waitUntil = { target.calls += "wait $it" }).run(scenario)
        val expected = listOf(
            "wait 0s",
            "load chats 4 over 2000ms",
            "wait 1s",
            "freeze router 1",
            "wait 2s",
            "engine 2 silent",
            "wait 3s",
            "resume router 1",
            "finish",
        )
        assertEquals(expected, target.calls)
        assertEquals(
            listOf(Expectation.Failure(Expectation(Measure.DOUBLED, Expectation.Bound.EXACTLY, 0.0), measured = 7.0)),
            failed,
        )
    }

    private class RecordingTarget : ScenarioTarget {
        val calls = mutableListOf<String>()

        override fun perform(action: ScenarioAction) {
            calls += action.toString()
        }

        override fun finishLoads() {
            calls += "finish"
        }

        override fun measure(measure: Measure): Double = 7.0
    }
}
