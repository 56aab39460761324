package org.cicadaarch.configuration.dissemination

import org.cicadaarch.configuration.ExampleDocuments
import org.cicadaarch.configuration.FleetDocumentValidator
import org.cicadaarch.configuration.FleetDocumentWriter
import org.cicadaarch.model.fleet.Preset

/**
 * Small documents as YAML, numbered so that each differs from the others, and an invalid document.
 */
object SmallDocuments {
    const val INVALID = "regions: {}\n"

    private val base = ExampleDocuments.gridSetters.let { document ->
        val target = document.targets.entries.first()
        document.copy(
            accounts = document.accounts.entries.take(1).associate { it.toPair() },
            services = document.services.filterKeys { it == target.value.service },
            targets = mapOf(target.toPair()),
            presets = FleetDocumentValidator.PRESET_NAMES.associateWith { Preset() },
        )
    }

    fun text(number: Int): String {
        val weight = number / FleetDocumentValidator.PRESET_NAMES.size + 1
        return FleetDocumentWriter.write(
            base.copy(
                accounts = base.accounts.mapValues { it.value.copy(weight = weight) },
                activePreset = FleetDocumentValidator.PRESET_NAMES[number % FleetDocumentValidator.PRESET_NAMES.size],
            ),
        )
    }
}
