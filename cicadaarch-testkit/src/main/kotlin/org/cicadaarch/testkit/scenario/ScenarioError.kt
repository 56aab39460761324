package org.cicadaarch.testkit.scenario

/**
 * A line of a scenario's text that is not a step. [line] counts from one.
 */
data class ScenarioError(val line: Int, val text: String, val reason: String) {
    override fun toString(): String = "line $line: $reason: $text"
}
