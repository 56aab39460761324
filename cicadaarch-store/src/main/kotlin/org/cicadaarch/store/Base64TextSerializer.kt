package org.cicadaarch.store

import java.util.Base64
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * Serializes UTF-8 text as base64, as the etcd JSON API does with keys and values.
 */
internal object Base64TextSerializer : KSerializer<String> {
    override val descriptor = PrimitiveSerialDescriptor("org.cicadaarch.store.Base64Text", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: String) =
        encoder.encodeString(Base64.getEncoder().encodeToString(value.toByteArray()))

    override fun deserialize(decoder: Decoder): String = String(Base64.getDecoder().decode(decoder.decodeString()))
}
