package org.cicadaarch.testkit.scenario

import kotlin.time.Duration

/**
 * An action and its [time] since the scenario's start.
 */
data class TimedAction(val time: Duration, val action: ScenarioAction) {
    override fun toString(): String = "at ${time.inWholeMilliseconds}ms $action"
}
