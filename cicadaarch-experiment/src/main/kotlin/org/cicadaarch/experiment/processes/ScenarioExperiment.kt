package org.cicadaarch.experiment.processes

import java.io.File
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.cicadaarch.experiment.Experiment
import org.cicadaarch.testkit.scenario.Scenario
import org.cicadaarch.testkit.scenario.ScenarioParser

/**
 * Runs a scenario on router processes of its own on loopback, judges it by the outcome oracle and prints a table.
 */
internal class ScenarioExperiment : Experiment {
    override val name: String = "scenario"
    override val summary: String = "runs a scenario file on seven router processes and judges every outcome"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser("experiment $name")
        val file by parser.option(ArgType.String, "file", description = "The scenario").required()
        val documents by parser.option(ArgType.String, "documents", description = "Fleet documents, by comma")
            .default("examples/hire-desk.yaml,examples/grid-setters.yaml")
        val logs by parser.option(
            ArgType.String,
            "logs",
            description = "Directory for the routers' logs; none if unset",
        )
        val seed by parser.option(ArgType.Int, "seed", description = "Chooses accounts and routers").default(1)
        parser.parse(arguments.toTypedArray())
        val scenario = read(file)
        val files = documents.split(',')
        return runCatching {
            ScenarioFleet(files, logs?.let(::File)).use { ScenarioRun(it, scenario, seed.toLong()).run() }
        }.getOrElse(::failed)
    }

    // The stand-ins' threads would keep a program that only throws from ending.
    private fun failed(cause: Throwable): Int {
        System.err.println(cause.stackTraceToString())
        return 1
    }

    private fun read(file: String): Scenario = ScenarioParser.parse(File(file).readText()).fold(
        ifLeft = { errors -> error("$file is not a scenario:\n" + errors.joinToString("\n")) },
        ifRight = { it },
    )
}
