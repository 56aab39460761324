package org.cicadaarch.testkit.scenario

import kotlin.time.Duration

/**
 * Runs scenarios against [target]. [waitUntil] returns at the given time since the scenario's start.
 */
class ScenarioRunner(private val target: ScenarioTarget, private val waitUntil: (Duration) -> Unit) {
    /** Performs the actions of [scenario] in the order of time and returns what did not hold at the end. */
    fun run(scenario: Scenario): List<Expectation.Failure> {
        scenario.actions.sortedBy { it.time }.forEach { timed ->
            waitUntil(timed.time)
            target.perform(timed.action)
        }
        target.finishLoads()
        return scenario.expectations
            .map { Expectation.Failure(it, target.measure(it.measure)) }
            .filterNot { it.expectation.holds(it.measured) }
    }
}
