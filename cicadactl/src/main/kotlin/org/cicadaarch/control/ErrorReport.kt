package org.cicadaarch.control

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.configuration.DocumentDifference

/**
 * Converts errors to reports.
 */
internal object ErrorReport {
    /** Returns the report of [error]. */
    fun of(error: ControlError): Report = Report(
        text = textOf(error),
        json = buildJsonObject {
            put("error", error::class.simpleName)
            put("message", textOf(error))
            addDetails(error)
        },
        exitCode = exitCodeOf(error),
    )

    private fun JsonObjectBuilder.addDetails(error: ControlError) {
        when (error) {
            is ControlError.InvalidDocument -> put(
                "errors",
                JsonArray(
                    error.errors.map {
                        JsonPrimitive(it.toString())
                    },
                ),
            )

            is ControlError.Conflict -> {
                put("expectedRevision", error.expected)
                put("revision", error.current?.revision)
                put("changedBy", error.current?.author)
                put("isBaseKnown", error.isBaseKnown)
                put("others", JsonArray(error.others.map(::jsonOf)))
                put("own", jsonOf(error.own))
            }

            else -> Unit
        }
    }

    private fun textOf(error: ControlError): String = when (error) {
        is ControlError.Usage -> error.reason
        is ControlError.InvalidDocument -> "${error.source} is invalid:\n" + error.errors.joinToString("\n") { "  $it" }
        is ControlError.Conflict -> conflictText(error)
        is ControlError.Unreachable -> "${error.peer} cannot be reached: ${error.reason}"
        is ControlError.Unsettled -> "the write may have taken effect (${error.reason}); compare with cicadactl diff"
        is ControlError.Failed -> error.reason
    }

    private fun conflictText(error: ControlError.Conflict): String = buildString {
        val current = error.current
        append("conflict: the document is ")
        if (current == null) append("absent") else append("at revision ${current.revision}")
        append(", not at ${error.expected} as expected; nothing was written\n")
        error.others.forEach { change ->
            append("revision ${change.revision} by ${change.author ?: "an unknown author"}:\n")
            append(linesOf(change.differences))
        }
        append(if (error.isBaseKnown) "your edit of revision ${error.expected}:\n" else "from the store's to yours:\n")
        append(linesOf(error.own))
        append("take the store's document with cicadactl show, repeat your edit there and apply it again")
    }

    private fun linesOf(differences: List<DocumentDifference>) = differences.joinToString("") { "  $it\n" }

    private fun jsonOf(change: RecordedChange) = buildJsonObject {
        put("revision", change.revision)
        put("changedBy", change.author)
        put("differences", jsonOf(change.differences))
    }

    private fun exitCodeOf(error: ControlError): ExitCode = when (error) {
        is ControlError.Usage -> ExitCode.USAGE
        is ControlError.InvalidDocument -> ExitCode.INVALID
        is ControlError.Conflict -> ExitCode.CONFLICT
        is ControlError.Unreachable, is ControlError.Unsettled -> ExitCode.UNREACHABLE
        is ControlError.Failed -> ExitCode.FAILED
    }
}
