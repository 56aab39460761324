package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.putJsonArray
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report

/** Prints the log lines of one request in order of time, from the logs of all routers. */
internal class TraceCommand(environment: Map<String, String>) :
    ControlCommand("trace", "Show the log lines of one request in order of time", environment) {
    private val request by argument(ArgType.String, "request", description = "Id of the request")
    private val logs by argument(ArgType.String, "logs", description = "Files with the routers' logs").vararg()

    override fun run(connections: Connections): Either<ControlError, Report> = either {
        logs.flatMap { textOf(it).bind().lines() }.filter { line -> FIELD.findAll(line).any { it.isOfRequest() } }
    }.flatMap { lines -> report(lines.sortedBy { TIME.find(it)?.groupValues?.get(1).orEmpty() }) }

    private fun MatchResult.isOfRequest(): Boolean = groupValues[1] == request

    private fun report(lines: List<String>): Either<ControlError, Report> = if (lines.isEmpty()) {
        ControlError.Failed("no line of request $request in ${logs.size} files").left()
    } else {
        Report(
            text = lines.joinToString("\n"),
            json = buildJsonObject {
                putJsonArray("lines") { lines.forEach { add(it) } }
            },
        ).right()
    }

    private companion object {
        val FIELD = Regex("""\brequest=(\S+)""")
        val TIME = Regex("""\btime=(\S+)""")
    }
}
