package org.cicadaarch.control.command

import arrow.core.Either
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report
import org.cicadaarch.control.pairsOf

/** Shows to which target a router would send a chat, and why. */
internal class ExplainCommand(environment: Map<String, String>) :
    ControlCommand("explain", "Show where a chat would go and why", environment) {
    private val account by option(ArgType.String, "account", description = "The client account").required()
    private val service by option(ArgType.String, "service", description = "The service").required()
    private val chat by option(ArgType.String, "chat", description = "The chat").required()

    override fun run(connections: Connections): Either<ControlError, Report> = operators()
        .get("/explain", mapOf("account" to account, "service" to service, "chat" to chat))
        .map { answer -> Report(text = answer.entries.joinToString("\n", transform = ::line), json = answer) }

    private fun line(entry: Map.Entry<String, JsonElement>): String = when (val value = entry.value) {
        is JsonArray -> (listOf("${entry.key}:") + value.map { "  ${item(it)}" }).joinToString("\n")
        is JsonObject -> "${entry.key}: ${pairsOf(value)}"
        is JsonPrimitive -> "${entry.key}: ${value.content}"
    }

    private fun item(value: JsonElement): String = when (value) {
        is JsonObject -> pairsOf(value)
        is JsonPrimitive -> value.content
        is JsonArray -> value.toString()
    }
}
