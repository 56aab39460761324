package org.cicadaarch.experiment.processes

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.testkit.scenario.Expectation
import org.cicadaarch.testkit.scenario.Measure
import org.cicadaarch.testkit.scenario.Scenario
import org.cicadaarch.testkit.scenario.ScenarioAction
import org.cicadaarch.testkit.scenario.ScenarioParser

class ScenarioFilesTest {
    @Test
    fun `Given the scenario files, when they are read, then each is bounded and expects every invariant`() {
        val files = File("../scenarios").listFiles().orEmpty().filter { it.extension == "scenario" }
        assertTrue(files.isNotEmpty())
        files.forEach { file ->
            val scenario = ScenarioParser.parse(file.readText()).fold(ifLeft = {
                error("$file: $it")
            }, ifRight = { it })
            assertTrue(secondsOf(scenario) <= 45.seconds, "$file is too long")
            assertEquals(INVARIANTS, invariantsOf(scenario), "$file")
        }
    }

    private fun secondsOf(scenario: Scenario) = scenario.actions.maxOf { timed ->
        timed.time + ((timed.action as? ScenarioAction.Load)?.duration ?: 0.seconds)
    }

    private fun invariantsOf(scenario: Scenario): Set<Measure> = scenario.expectations
        .filter { it.bound == Expectation.Bound.EXACTLY && it.figure == 0.0 }
        .map { it.measure }
        .toSet()

    private companion object {
        val INVARIANTS =
            setOf(Measure.LOST, Measure.DOUBLED, Measure.FALSE_NOT_RUN, Measure.INCOMPLETE, Measure.FOREIGN)
    }
}
