package org.cicadaarch.control.command

import arrow.core.Either
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.FleetStatus
import org.cicadaarch.control.Report
import org.cicadaarch.control.controlJson
import org.cicadaarch.control.pairsOf

/** Prints the revisions of the routers and the state of the targets. */
internal class StatusCommand(environment: Map<String, String>) :
    ControlCommand("status", "Show revisions of routers and state of targets", environment) {
    override fun run(connections: Connections): Either<ControlError, Report> =
        operators().status().map { Report(text = textOf(it), json = jsonOf(it)) }

    private fun textOf(status: FleetStatus): String = buildList {
        add(
            "revision ${status.revision} on ${status.runningCount(
                status.revision,
            )} of ${status.routers.size} routers, " +
                "preset ${status.preset ?: "unknown"}",
        )
        status.routers.forEach { router ->
            add("router=${router.router} revision=${router.revision}" + if (router.leaving) " leaving=true" else "")
        }
        status.targets.forEach { add(pairsOf(it)) }
        status.unreachable.forEach { add("unreachable=$it") }
    }.joinToString("\n")

    private fun jsonOf(status: FleetStatus) = buildJsonObject {
        put("revision", status.revision)
        put("preset", status.preset)
        put("running", status.runningCount(status.revision))
        put("routers", controlJson.encodeToJsonElement(status.routers))
        put("targets", JsonArray(status.targets))
        put("unreachable", JsonArray(status.unreachable.map(::JsonPrimitive)))
    }
}
