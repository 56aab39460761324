package org.cicadaarch.testkit.scenario

/**
 * The fleet, targets and callers that a scenario runs against.
 */
interface ScenarioTarget {
    /** Starts [action] without waiting for its effect. */
    fun perform(action: ScenarioAction)

    /** Waits until every request that was sent has its outcome or is given up. */
    fun finishLoads()

    /** The figure of [measure] over the whole scenario. */
    fun measure(measure: Measure): Double
}
