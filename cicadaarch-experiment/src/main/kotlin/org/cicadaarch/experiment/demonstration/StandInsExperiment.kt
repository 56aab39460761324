package org.cicadaarch.experiment.demonstration

import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cicadaarch.experiment.Experiment
import org.cicadaarch.testkit.StoreStandIn
import org.cicadaarch.testkit.VirtualMachineListStandIn

/**
 * Runs the stand-ins of the platform and of all targets of the given documents in one process until it is stopped.
 */
internal class StandInsExperiment : Experiment {
    override val name: String = "stand-ins"
    override val summary: String = "runs stand-ins of the platform and of a fleet document's targets"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser("experiment $name")
        val documents by parser.option(ArgType.String, "documents", description = "Fleet documents, by comma")
            .default("examples/hire-desk.yaml,examples/grid-setters.yaml")
        val storePort by parser.option(ArgType.Int, "store-port", description = "Port of the store").default(STORE_PORT)
        val listPort by parser.option(ArgType.Int, "vm-list-port", description = "Port of the list of VMs")
            .default(LIST_PORT)
        val decodeInterval by parser.option(
            ArgType.Int,
            "decode-interval-milliseconds",
            description = "Engines' time per token",
        ).default(DECODE_INTERVAL_MILLISECONDS)
        parser.parse(arguments.toTypedArray())
        StoreStandIn(storePort, storePort + CONTROL_PORT_OFFSET)
        VirtualMachineListStandIn(listPort, listPort + CONTROL_PORT_OFFSET, LIST_LAG_MILLISECONDS.milliseconds)
        TargetStandIns.start(DemonstrationFleet.read(documents.split(',')), decodeInterval)
        println("event=stand-ins-listening store=$storePort vmList=$listPort")
        CountDownLatch(1).await()
        return 0
    }

    companion object {
        /** What is added to a stand-in's port to get the port of its faults and logs. */
        const val CONTROL_PORT_OFFSET = 10_000

        private const val STORE_PORT = 17_301
        private const val LIST_PORT = 17_302
        private const val DECODE_INTERVAL_MILLISECONDS = 10
        private const val LIST_LAG_MILLISECONDS = 1_000
    }
}
