package org.cicadaarch.experiment.policy

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cicadaarch.experiment.Experiment

/**
 * Compares policies on the workloads of [Scenarios] in virtual time.
 */
internal class PolicyExperiment : Experiment {
    override val name = "policy"
    override val summary = "compares placement and admission policies in virtual time"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser(name)
        val seed by parser.option(ArgType.Int, description = "seed of all arrivals and sizes").default(1)
        val scenario by parser.option(ArgType.String, description = "one scenario only").default("")
        val policy by parser.option(ArgType.String, description = "policies whose names contain this").default("")
        parser.parse(arguments.toTypedArray())
        val chosen = Scenarios.all.filter { scenario.isEmpty() || it.name in scenario.split(',') }
        require(chosen.isNotEmpty()) { "no scenario $scenario; there are ${Scenarios.all.map { it.name }}" }
        chosen.forEach { print(it, seed, Policy.all.filter { candidate -> policy in candidate.name }) }
        return 0
    }

    private fun print(scenario: Scenario, seed: Int, policies: List<Policy>) {
        println("scenario=${scenario.name} seed=$seed engines=${scenario.engines} routers=${scenario.routers}")
        println(Measurements.HEAD)
        policies.forEach { println(PolicyRun(scenario, seed.toLong()).run(it)) }
        println()
    }
}
