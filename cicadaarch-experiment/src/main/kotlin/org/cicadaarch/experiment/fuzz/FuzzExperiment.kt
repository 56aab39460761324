package org.cicadaarch.experiment.fuzz

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cicadaarch.experiment.Experiment
import org.cicadaarch.testkit.simulation.FuzzRun
import org.cicadaarch.testkit.simulation.OutcomeChecker

/**
 * Runs the fleet fuzz for a number of steps, in runs of one seed each, and stops at the first violation.
 */
internal class FuzzExperiment : Experiment {
    override val name: String = "fuzz"
    override val summary: String = "random failures on a simulated fleet; checks that every outcome told is true"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser("experiment $name")
        val steps by parser.option(ArgType.Int, "steps", description = "Steps in all").default(STEPS)
        val seed by parser.option(ArgType.Int, "seed", description = "Seed of the first run").default(1)
        parser.parse(arguments.toTypedArray())
        val runs = (steps + STEPS_PER_RUN - 1) / STEPS_PER_RUN
        var requests = 0
        repeat(runs) { number ->
            val run = FuzzRun(seed.toLong() + number)
            run.performRandomly(STEPS_PER_RUN)
            run.settle()
            requests += run.simulation.requests.size
            val violations = OutcomeChecker.violations(run.simulation, allEnded = true)
            if (violations.isNotEmpty()) {
                println("seed ${seed + number}, $STEPS_PER_RUN steps: violations")
                violations.forEach { println("  $it") }
                println("repeat with: scripts/fuzz $STEPS_PER_RUN ${seed + number}")
                return 1
            }
        }
        println(
            "$runs runs of $STEPS_PER_RUN steps, seeds $seed to ${seed + runs - 1}, $requests requests: no violation",
        )
        return 0
    }

    private companion object {
        const val STEPS = 15_000
        const val STEPS_PER_RUN = 150
    }
}
