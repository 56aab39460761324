package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

/** Takes a target or a router out of service after its requests in flight. */
internal class DrainCommand(environment: Map<String, String>) :
    ControlCommand("drain", "Give a target or a router no new work", environment) {
    private val target by option(ArgType.String, "target", description = "Name of a target of the document")
    private val router by option(ArgType.String, "router", description = "host:port of a router's operators' endpoint")
    private val isCancelled by option(ArgType.Boolean, "cancel", description = "Let the target work again")
        .default(false)

    override fun run(connections: Connections): Either<ControlError, Report> {
        val targetName = target
        val routerAddress = router
        return when {
            targetName != null && routerAddress == null -> drainTarget(connections, TargetId(targetName))
            targetName == null && routerAddress != null && !isCancelled -> drainRouter(routerAddress)
            else -> ControlError.Usage("give either --target, perhaps with --cancel, or --router").left()
        }
    }

    private fun drainTarget(connections: Connections, id: TargetId): Either<ControlError, Report> = either {
        val change = editor(connections).bind().edit { withLeaving(it, id) }.bind()
        ChangeReport(operators(), rolloutWatcher()).of(change)
    }

    private fun withLeaving(document: FleetDocument, id: TargetId): Either<ControlError, FleetDocument> {
        val before = document.targets[id] ?: return ControlError.Failed("the document has no target $id").left()
        return document.copy(targets = document.targets + (id to before.copy(leaving = !isCancelled))).right()
    }

    private fun drainRouter(address: String): Either<ControlError, Report> = operators().post(address, "/drain").map {
        Report(
            text = "router at $address leaves: it takes no new requests and ends after those in flight",
            json = buildJsonObject { put("draining", address) },
        )
    }
}
