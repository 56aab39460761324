package org.cicadaarch.control.command

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.control.Change
import org.cicadaarch.control.ExitCode
import org.cicadaarch.control.FleetStatus
import org.cicadaarch.control.OperatorsClient
import org.cicadaarch.control.Report
import org.cicadaarch.control.RolloutWatcher
import org.cicadaarch.control.jsonOf

/**
 * Reports an accepted change and on how many routers it is in force.
 */
internal class ChangeReport(private val operators: OperatorsClient, private val rollout: RolloutWatcher) {
    /** Waits until [change] is in force on the routers, if any are named, and returns the report. */
    fun of(change: Change): Report = when {
        operators.hasEndpoints -> withRollout(change, rollout.await(change.revision))
        else -> report(change, "no router was asked: give --operators to see where it is in force", null)
    }

    private fun withRollout(change: Change, status: FleetStatus?): Report {
        val behind = status?.routersBehind(change.revision).orEmpty()
        return when {
            status == null -> report(change, "no router responded", null, ExitCode.NOT_IN_FORCE)

            behind.isEmpty() -> report(change, "in force on all ${status.routers.size} routers", status)

            else -> report(
                change,
                "in force on ${status.runningCount(change.revision)} of ${status.routers.size} routers; " +
                    "not yet on ${behind.joinToString { it.router }}",
                status,
                ExitCode.NOT_IN_FORCE,
            )
        }
    }

    private fun report(change: Change, progress: String, status: FleetStatus?, exitCode: ExitCode = ExitCode.DONE) =
        Report(
            text = (change.differences.map { "  $it" } + "revision ${change.revision}" + progress).joinToString("\n"),
            json = buildJsonObject {
                put("revision", change.revision)
                put("differences", jsonOf(change.differences))
                put("routers", status?.routers?.size)
                put("running", status?.runningCount(change.revision))
                put(
                    "behind",
                    JsonArray(
                        status?.routersBehind(change.revision).orEmpty().map {
                            JsonPrimitive(it.router)
                        },
                    ),
                )
            },
            exitCode = exitCode,
        )
}
