package org.cicadaarch.forwarding.quarantine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeFromJsonElement
import org.cicadaarch.dispatch.quarantine.CrashRecord
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.store.UntrustedJson

/**
 * Parses store values into records of crashes. A value that cannot be parsed is logged once and ignored.
 */
internal class CrashRecordReader(private val prefix: String) {
    private var decoded = emptyMap<String, DecodedValue>()

    /** The records among [values], by key without the prefix. */
    fun read(values: Map<String, String>): Map<String, CrashRecord> {
        val before = decoded
        decoded = values.mapValues { (key, value) ->
            before[key]?.takeIf { it.value == value } ?: DecodedValue(value, decode(key, value))
        }
        return decoded.entries.mapNotNull { (key, value) ->
            value.record?.let { key.removePrefix(prefix) to it }
        }.toMap()
    }

    private fun decode(key: String, value: String): CrashRecord? =
        UntrustedJson.decodeObject(value, MAX_LENGTH) { Json.decodeFromJsonElement<CrashRecordMessage>(it).toRecord() }
            .fold(
                ifLeft = { error ->
                    LogEvents.warn("crash-record-unreadable") {
                        "key" to key
                        "error" to error
                    }
                    null
                },
                ifRight = { it },
            )

    private class DecodedValue(val value: String, val record: CrashRecord?)

    companion object {
        /** The most characters that a value may have; a router's own records have about half as many. */
        const val MAX_LENGTH = 32 * 1024
    }
}
