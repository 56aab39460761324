package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.cli.ArgType
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report
import org.cicadaarch.control.jsonOf

/** Compares a document with the one in the store. */
internal class DiffCommand(environment: Map<String, String>) :
    ControlCommand("diff", "Show what applying a document would change", environment) {
    private val file by argument(ArgType.String, "file", description = "The document in YAML")

    override fun run(connections: Connections): Either<ControlError, Report> = either {
        val document = documentOf(file).bind()
        val editor = editor(connections).bind()
        val stored = editor.stored().bind()
        val differences = editor.differences(stored, document).bind()
        val summary = if (differences.isEmpty()) "no differences" else "${differences.size} differences"
        Report(
            text = (listOf("store at revision ${stored.revision}, $summary") + differences.map { "  $it" })
                .joinToString("\n"),
            json = buildJsonObject {
                put("revision", stored.revision)
                put("differences", jsonOf(differences))
            },
        )
    }
}
