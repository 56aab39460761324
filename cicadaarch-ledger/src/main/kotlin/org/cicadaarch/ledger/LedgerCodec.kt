package org.cicadaarch.ledger

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Encodes segments and snapshots as JSON for the store. Decoding returns null if the value is missing or malformed.
 */
internal object LedgerCodec {
    private val format = Json {
        classDiscriminator = "o"
        encodeDefaults = false
    }

    fun encode(segment: Segment): String = format.encodeToString(segment)

    fun encode(snapshot: Snapshot): String = format.encodeToString(snapshot)

    fun decodeSegment(value: String?): Segment? = decodeOrNull(value) { format.decodeFromString<Segment>(it) }

    fun decodeSnapshot(value: String?): Snapshot? = decodeOrNull(value) { format.decodeFromString<Snapshot>(it) }

    private fun <T> decodeOrNull(value: String?, decode: (String) -> T): T? = try {
        value?.let(decode)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
