package org.cicadaarch.experiment.orders

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cicadaarch.experiment.Experiment
import org.cicadaarch.orders.OrdersSettings

/**
 * Measures how long a preset's states take to reach engines, with and without the loss of the holder.
 */
class OrdersExperiment : Experiment {
    override val name = "orders"

    override val summary = "time to the preset's states and calls of the orders, in virtual time"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser("experiment orders")
        val seed by parser.option(ArgType.Int, description = "seed of delays").default(1)
        val engines by parser.option(ArgType.Int, description = "engines of the group").default(12)
        val loadSeconds by parser.option(ArgType.Int, description = "seconds of one load").default(60)
        parser.parse(arguments.toTypedArray())
        println("seed=$seed engines=$engines loadSeconds=$loadSeconds")
        println(HEADER)
        for (checksFencing in listOf(true, false)) {
            for (loads in listOf(1, 2, 4)) println(row(seed.toLong(), engines, loadSeconds, checksFencing, loads))
        }
        return 0
    }

    private fun row(seed: Long, engines: Int, loadSeconds: Int, checksFencing: Boolean, loads: Int): String {
        val settings = OrdersSettings(maximumLoads = loads)
        val simulation = OrdersSimulation(settings, engines, checksFencing, loadSeconds, seed)
        simulation.settle()
        simulation.run(HOUR_SECONDS)
        val callsBefore = simulation.storeCalls
        val readsBefore = simulation.reads
        simulation.run(HOUR_SECONDS)
        val calls = (simulation.storeCalls - callsBefore).toDouble() / HOUR_SECONDS
        val reads = (simulation.reads - readsBefore).toDouble() / HOUR_SECONDS
        simulation.switchPreset()
        val switched = simulation.settle()
        simulation.switchPreset()
        simulation.killHolder(DETECTION_SECONDS)
        val lost = simulation.settle()
        return "| %s | %d | %.1f | %.1f | %.2f | %.2f | %d |".format(
            if (checksFencing) "checked" else "ignored",
            loads,
            switched,
            lost,
            calls,
            reads,
            simulation.orders,
        )
    }

    private companion object {
        const val HOUR_SECONDS = 3_600
        const val DETECTION_SECONDS = 3
        const val HEADER =
            "| fencing number | loads at once | switch s | switch, holder lost s | idle store calls/s | " +
                "idle state reads/s | orders |"
    }
}
