package org.cicadaarch.testkit.scenario

import kotlin.time.Duration

/**
 * Collects the steps of a scenario.
 */
class ScenarioBuilder internal constructor() {
    private val actions = mutableListOf<TimedAction>()
    private val expectations = mutableListOf<Expectation>()

    /** Adds [action] at [time] since the start. */
    fun at(time: Duration, action: ScenarioAction) {
        actions += TimedAction(time, action)
    }

    /** Sends [count] requests spread evenly over [over] from the start on. */
    fun load(kind: LoadKind, count: Int, over: Duration) = at(Duration.ZERO, ScenarioAction.Load(kind, count, over))

    /** Requires [measure] to be [bound] [figure] at the end. */
    fun expect(measure: Measure, bound: Expectation.Bound, figure: Double) {
        expectations += Expectation(measure, bound, figure)
    }

    internal fun build(): Scenario = Scenario(actions.toList(), expectations.toList())
}

/** Builds a scenario from the steps in [fill]. */
fun scenario(fill: ScenarioBuilder.() -> Unit): Scenario = ScenarioBuilder().apply(fill).build()

/** The router with [number]. */
fun router(number: Int): ProcessName = ProcessName(ProcessName.Kind.ROUTER, number)

/** The engine with [number]. */
fun engine(number: Int): ProcessName = ProcessName(ProcessName.Kind.ENGINE, number)

/** The plain service process with [number]. */
fun service(number: Int): ProcessName = ProcessName(ProcessName.Kind.SERVICE, number)
