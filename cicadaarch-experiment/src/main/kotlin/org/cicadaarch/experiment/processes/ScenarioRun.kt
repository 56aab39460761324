package org.cicadaarch.experiment.processes

import kotlin.time.Duration
import org.cicadaarch.model.Outcome
import org.cicadaarch.testkit.oracle.OutcomeOracle
import org.cicadaarch.testkit.oracle.Violation
import org.cicadaarch.testkit.scenario.Expectation
import org.cicadaarch.testkit.scenario.Measure
import org.cicadaarch.testkit.scenario.ProcessName
import org.cicadaarch.testkit.scenario.Scenario
import org.cicadaarch.testkit.scenario.ScenarioAction
import org.cicadaarch.testkit.scenario.ScenarioRunner
import org.cicadaarch.testkit.scenario.ScenarioTarget

/**
 * One run of [scenario] on [fleet]. The verdict rests on the oracle and on what the scenario expects, not on times.
 */
internal class ScenarioRun(private val fleet: ScenarioFleet, private val scenario: Scenario, seed: Long) :
    ScenarioTarget {
    private val balancer = Balancer(fleet.routers)
    private val callers = ScenarioCallers(ScenarioRequests(fleet.deployments), fleet.routers, balancer, seed)
    private val violations: List<Violation> by lazy { judge() }

    /** Runs the scenario; returns 0 when every expectation holds and the oracle finds nothing, 1 otherwise. */
    fun run(): Int {
        check(scenario.expectations.all { it.measure in MEASURES }) { "processes are judged only by $MEASURES" }
        fleet.start()
        balancer.start()
        val begun = System.nanoTime()
        val failures = ScenarioRunner(this, waitUntil = { waitUntil(begun, it) }).run(scenario)
        report(failures)
        return if (failures.isEmpty() && violations.isEmpty()) 0 else 1
    }

    override fun perform(action: ScenarioAction) {
        println("event=action what=\"$action\"")
        when (action) {
            is ScenarioAction.Kill -> fleet.routers.kill(router(action.process))
            is ScenarioAction.Freeze -> fleet.routers.freeze(router(action.process))
            is ScenarioAction.Resume -> fleet.routers.resume(router(action.process))
            is ScenarioAction.Stop -> fleet.routers.stop(router(action.process))
            is ScenarioAction.Start -> fleet.routers.start(router(action.process))
            is ScenarioAction.FaultStore -> fleet.faultStore(action.fault)
            is ScenarioAction.FaultTarget -> fleet.faultTarget(action.process, action.fault)
            is ScenarioAction.SwitchPreset -> fleet.switchPreset(action.preset)
            is ScenarioAction.Load -> callers.start(action)
        }
    }

    override fun finishLoads() {
        callers.await(FINISH_SECONDS)
        callers.close()
        balancer.close()
    }

    override fun measure(measure: Measure): Double = when (measure) {
        Measure.LOST -> violations.count { it is Violation.Lost }
        Measure.DOUBLED -> violations.count { it is Violation.Doubled }
        Measure.FALSE_NOT_RUN -> violations.count { it is Violation.FalseNotRun }
        Measure.INCOMPLETE -> violations.count { it is Violation.Incomplete }
        Measure.FOREIGN -> violations.count { it is Violation.Foreign }
        Measure.COMPLETED -> count(Outcome.COMPLETED)
        Measure.REFUSED -> count(Outcome.NOT_RUN)
        Measure.LATE, Measure.SKEW, Measure.CACHE_REUSE, Measure.CONTROL_BYTES -> error("$measure is not measured")
    }.toDouble()

    private fun judge(): List<Violation> {
        val logs = fleet.logs()
        val records = CallerRecords(serviceOf = { fleet.serviceOf(it.target) }, logs = logs).of(callers.operations)
        return OutcomeOracle.violations(records, logs)
    }

    private fun count(outcome: Outcome): Int = callers.operations.count { it.outcome == outcome }

    private fun router(process: ProcessName): Int {
        require(process.kind == ProcessName.Kind.ROUTER) { "$process runs inside this process and can only be faulted" }
        return process.number
    }

    private fun waitUntil(begun: Long, time: Duration) {
        val left = time.inWholeMilliseconds - (System.nanoTime() - begun) / NANOSECONDS_PER_MILLISECOND
        if (left > 0) Thread.sleep(left)
    }

    private fun report(failures: List<Expectation.Failure>) {
        val sends = callers.operations.flatMap { it.sends }
        row("requests", callers.operations.size)
        Outcome.entries.forEach { row("ended as ${it.label}", count(it)) }
        row("ended without an outcome", callers.operations.count { it.outcome == null })
        row("sends", sends.size)
        row("refused connections", sends.count { !it.answer.isSent })
        row("broken, router killed or paused", sends.count { it.isBroken && it.isExcused })
        row("broken without a fault", sends.count { it.isBroken && !it.isExcused })
        violations.groupBy {
            it::class.simpleName.orEmpty()
        }.forEach { (kind, all) -> row("violations: $kind", all.size) }
        sends.filter { it.isBroken && !it.isExcused }.take(MOST_VIOLATIONS_SHOWN).forEach { println("broken $it") }
        violations.take(MOST_VIOLATIONS_SHOWN).forEach { println("violation $it") }
        failures.forEach { println("failed: ${it.expectation}, measured ${it.measured}") }
    }

    private fun row(name: String, figure: Int) = println(name.padEnd(NAME_WIDTH) + figure)

    private companion object {
        const val FINISH_SECONDS = 40L
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000
        const val MOST_VIOLATIONS_SHOWN = 20
        const val NAME_WIDTH = 40
        val MEASURES = setOf(
            Measure.LOST,
            Measure.DOUBLED,
            Measure.FALSE_NOT_RUN,
            Measure.INCOMPLETE,
            Measure.FOREIGN,
            Measure.COMPLETED,
            Measure.REFUSED,
        )
    }
}
