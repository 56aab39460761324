package org.cicadaarch.experiment.demonstration

import java.io.File
import org.cicadaarch.configuration.FleetDocumentParser
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target

/**
 * The configuration of the demonstration: the documents of all deployments in one fleet.
 */
internal object DemonstrationFleet {
    /** Reads and joins the documents in [files]; fails with all errors of the first that is not valid. */
    fun read(files: List<String>): FleetDocument = files.map(::parse).reduce(::join)

    /** [fleet] without [target], which is to join later. */
    fun without(fleet: FleetDocument, target: TargetId): FleetDocument = fleet.copy(
        targets = fleet.targets - target,
        presets = fleet.presets.mapValues { (_, preset) -> preset.copy(wantedStates = preset.wantedStates - target) },
    )

    /** [fleet] with [change] made to [target]. */
    fun withChanged(fleet: FleetDocument, target: TargetId, change: (Target) -> Target): FleetDocument =
        fleet.copy(targets = fleet.targets + (target to change(fleet.targets.getValue(target))))

    private fun parse(file: String): FleetDocument = FleetDocumentParser.parse(File(file).readText()).fold(
        ifLeft = { errors -> error("$file is not valid:\n" + errors.joinToString("\n")) },
        ifRight = { it },
    )

    private fun join(first: FleetDocument, second: FleetDocument): FleetDocument = FleetDocument(
        regions = first.regions + second.regions,
        accounts = first.accounts + second.accounts,
        services = first.services + second.services,
        targets = first.targets + second.targets,
        presets = first.presets.mapValues { (name, preset) ->
            val other = second.presets.getValue(name)
            preset.copy(
                admittedPriorities = preset.admittedPriorities + other.admittedPriorities,
                accountLimits = preset.accountLimits + other.accountLimits,
                loadMultiples = preset.loadMultiples + other.loadMultiples,
                wantedStates = preset.wantedStates + other.wantedStates,
            )
        },
        activePreset = first.activePreset,
    )
}
