package org.cicadaarch.testkit.scenario

/**
 * A scripted course of load and faults, and what must hold at its end. [toString] gives the text form.
 */
data class Scenario(val actions: List<TimedAction>, val expectations: List<Expectation>) {
    override fun toString(): String = (actions + expectations).joinToString(separator = "\n")
}
