package org.cicadaarch.experiment

import kotlin.system.exitProcess
import org.cicadaarch.experiment.benchmark.StreamBenchmark
import org.cicadaarch.experiment.capacity.CapacityExperiment
import org.cicadaarch.experiment.demonstration.DemonstrationExperiment
import org.cicadaarch.experiment.demonstration.StandInsExperiment
import org.cicadaarch.experiment.fuzz.FuzzExperiment
import org.cicadaarch.experiment.ledger.LedgerExperiment
import org.cicadaarch.experiment.membership.MembershipExperiment
import org.cicadaarch.experiment.orders.OrdersExperiment
import org.cicadaarch.experiment.policy.PolicyExperiment
import org.cicadaarch.experiment.policy.QuotaExperiment
import org.cicadaarch.experiment.processes.ScenarioExperiment

private const val EXIT_USAGE = 2

private val experiments: List<Experiment> = listOf(
    DemonstrationExperiment(),
    StandInsExperiment(),
    StreamBenchmark(),
    FuzzExperiment(),
    CapacityExperiment(),
    LedgerExperiment(),
    PolicyExperiment(),
    MembershipExperiment(),
    OrdersExperiment(),
    QuotaExperiment(),
    ScenarioExperiment(),
)

/** Runs the experiment that the first argument names. */
fun main(arguments: Array<String>) {
    val experiment = experiments.firstOrNull { it.name == arguments.firstOrNull() }
    if (experiment == null) {
        System.err.println("usage: experiment COMMAND [OPTIONS]; commands:")
        experiments.forEach { System.err.println("  ${it.name.padEnd(NAME_WIDTH)}${it.summary}") }
        exitProcess(EXIT_USAGE)
    }
    exitProcess(experiment.run(arguments.drop(1)))
}

private const val NAME_WIDTH = 20
