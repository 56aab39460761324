package org.cicadaarch.control

import kotlinx.serialization.json.JsonObject

/**
 * The result of a command, as [text] for people and [json] for programs.
 */
data class Report(val text: String, val json: JsonObject, val exitCode: ExitCode = ExitCode.DONE)
