package org.cicadaarch.control

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.configuration.DocumentDifference

/** Ignores unknown fields, which routers of a later version may send. */
internal val controlJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

internal fun jsonOf(differences: List<DocumentDifference>) = JsonArray(
    differences.map { difference ->
        buildJsonObject {
            put("path", difference.path)
            put("before", difference.before)
            put("after", difference.after)
        }
    },
)

/** Formats [fields] as key=value pairs on one line. */
internal fun pairsOf(fields: JsonObject): String = fields.entries.joinToString(" ") { (key, value) ->
    "$key=${if (value is JsonPrimitive) value.content else value.toString()}"
}
