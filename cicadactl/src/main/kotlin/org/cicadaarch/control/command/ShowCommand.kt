package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.flatMap
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report

/** Prints the store's document with its revision, so that it can be edited and applied. */
internal class ShowCommand(environment: Map<String, String>) :
    ControlCommand("show", "Print the store's document", environment) {
    override fun run(connections: Connections): Either<ControlError, Report> =
        editor(connections).flatMap { it.stored() }.map { stored ->
            Report(
                text = stored.textWithRevision.trimEnd(),
                json = buildJsonObject {
                    put("revision", stored.revision)
                    put("changedBy", stored.author)
                    put("document", stored.text)
                },
            )
        }
}
