package org.cicadaarch.experiment.demonstration

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.cicadaarch.experiment.Experiment
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Loads routers that run already with returning chats and bookings, while an engine joins and another leaves, and
 * prints what callers got. The script around it starts the processes and kills a router.
 */
internal class DemonstrationExperiment : Experiment {
    override val name: String = "demonstration"
    override val summary: String = "sends returning chats and bookings through running routers and prints a table"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser("experiment $name")
        val callers by parser.option(ArgType.String, "callers", description = "Routers' caller addresses, by comma")
            .required()
        val operators by parser.option(ArgType.String, "operators", description = "Operators' addresses, by comma")
            .required()
        val peers by parser.option(ArgType.String, "peers", description = "Routers' peer addresses, by comma")
            .required()
        val store by parser.option(ArgType.String, "store", description = "Address of the store").required()
        val list by parser.option(ArgType.String, "vm-list-control", description = "Control address of the VM list")
            .required()
        val documents by parser.option(ArgType.String, "documents", description = "Fleet documents, by comma")
            .default("examples/hire-desk.yaml,examples/grid-setters.yaml")
        val chats by parser.option(ArgType.Int, "chats", description = "Returning chats").default(DEFAULT_CHATS)
        val turns by parser.option(ArgType.Int, "turns", description = "Turns of each chat").default(DEFAULT_TURNS)
        val seed by parser.option(ArgType.Int, "seed", description = "Chooses the load").default(1)
        parser.parse(arguments.toTypedArray())
        val files = documents.split(',')
        return Demonstration(
            fleet = DemonstrationFleet.read(files),
            deployments = files.map { Deployment.of(DemonstrationFleet.read(listOf(it))) },
            callerAddresses = callers.split(','),
            operatorAddresses = operators.split(','),
            peerAddresses = peers.split(','),
            editor = FleetEditor(store),
            listAddress = list,
            seed = seed.toLong(),
        ).run(chats, turns)
    }

    private companion object {
        const val DEFAULT_CHATS = 240
        const val DEFAULT_TURNS = 5
    }
}
