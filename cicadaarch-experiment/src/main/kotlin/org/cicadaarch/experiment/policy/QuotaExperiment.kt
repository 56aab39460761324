package org.cicadaarch.experiment.policy

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cicadaarch.experiment.Experiment

/**
 * Measures how closely fleet-wide limits are kept when every router sees a part of the traffic.
 */
internal class QuotaExperiment : Experiment {
    override val name = "quota"
    override val summary = "measures over- and under-admission of fleet-wide account limits"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser(name)
        val seed by parser.option(ArgType.Int, description = "seed of arrivals").default(1)
        parser.parse(arguments.toTypedArray())
        println("seed=$seed requests per second over 30 s, after 10 s; even and uneven spread over routers")
        println("routers spread  limit  offered/limit  admitted/entitled  highest second/limit  bytes/router/s")
        for (routers in listOf(7, 360)) {
            for (uneven in listOf(false, true)) {
                for ((limit, load) in listOf(
                    2.0 to 1.0,
                    20.0 to 0.5,
                    20.0 to 1.0,
                    20.0 to 3.0,
                    400.0 to 0.9,
                    400.0 to 3.0,
                )) {
                    println(QuotaRun(routers, uneven, limit, load, seed.toLong()).run())
                }
            }
        }
        return 0
    }

    private companion object {
        val cases = listOf(2.0 to 1.0, 20.0 to 0.5, 20.0 to 1.0, 20.0 to 3.0, 400.0 to 0.9, 400.0 to 3.0)
    }
}
