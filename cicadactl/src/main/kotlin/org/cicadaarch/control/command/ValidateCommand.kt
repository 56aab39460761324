package org.cicadaarch.control.command

import arrow.core.Either
import kotlinx.cli.ArgType
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report

/** Validates a document without access to the store. */
internal class ValidateCommand(environment: Map<String, String>) :
    ControlCommand("validate", "Check a document and list all of its errors", environment) {
    private val file by argument(ArgType.String, "file", description = "The document in YAML")

    override fun run(connections: Connections): Either<ControlError, Report> = documentOf(file).map { document ->
        val accounts = document.accounts.size
        val services = document.services.size
        val targets = document.targets.size
        Report(
            text = "$file is valid: $accounts accounts, $services services, $targets targets, " +
                "active preset ${document.activePreset}",
            json = buildJsonObject {
                put("valid", true)
                put("accounts", accounts)
                put("services", services)
                put("targets", targets)
                put("activePreset", document.activePreset.value)
            },
        )
    }
}
