package org.cicadaarch.configuration.dissemination

import java.io.ByteArrayOutputStream
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ByteArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.Json
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Serializes a fleet document as deflated JSON. Names repeat a lot, so this is a tenth of the uncompressed size.
 */
object CompressedDocumentSerializer : KSerializer<FleetDocument> {
    private val bytes = ByteArraySerializer()
    private val json = Json { encodeDefaults = false }

    // Limits how much memory a faulty peer can make this router allocate. Store values are at most 1 MB.
    private const val MAX_JSON_BYTES = 8 * 1024 * 1024

    override val descriptor: SerialDescriptor = SerialDescriptor("PackedDocument", bytes.descriptor)

    override fun serialize(encoder: Encoder, value: FleetDocument) =
        encoder.encodeSerializableValue(bytes, deflate(json.encodeToString(FleetDocument.serializer(), value)))

    override fun deserialize(decoder: Decoder): FleetDocument =
        json.decodeFromString(FleetDocument.serializer(), inflate(decoder.decodeSerializableValue(bytes)))

    private fun deflate(text: String): ByteArray {
        val compressed = ByteArrayOutputStream()
        DeflaterOutputStream(compressed).use { it.write(text.toByteArray()) }
        return compressed.toByteArray()
    }

    private fun inflate(compressed: ByteArray): String {
        val text = InflaterInputStream(compressed.inputStream()).use { it.readNBytes(MAX_JSON_BYTES + 1) }
        if (text.size > MAX_JSON_BYTES) throw SerializationException("document exceeds $MAX_JSON_BYTES bytes")
        return text.decodeToString()
    }
}
