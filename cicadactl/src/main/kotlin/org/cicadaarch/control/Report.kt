package org.cicadaarch.control

import kotlinx.serialization.json.JsonObject

/**
 * What a command has to say, as [text] for people or [json] for programs.
 */
data class Report(val text: String, val json: JsonObject, val exitCode: ExitCode = ExitCode.DONE)
