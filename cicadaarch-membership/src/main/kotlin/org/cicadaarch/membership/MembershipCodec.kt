package org.cicadaarch.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes membership messages as CBOR datagrams and decodes them.
 */
@OptIn(ExperimentalSerializationApi::class)
object MembershipCodec {
    private val format = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        useDefiniteLengthEncoding = true
    }

    /** Encodes [message] as the payload of one datagram. */
    fun encode(message: MembershipMessage): ByteArray =
        format.encodeToByteArray(MembershipMessage.serializer(), message)

    /** Decodes [datagram], or returns null when it is malformed. */
    fun decode(datagram: ByteArray): MembershipMessage? = try {
        format.decodeFromByteArray(MembershipMessage.serializer(), datagram)
    } catch (_: RuntimeException) {
        // The CBOR decoder reports malformed input by several exception types, IllegalStateException among them.
        null
    } catch (_: StackOverflowError) {
        // The CBOR decoder recurses without bound on some malformed input.
        null
    }
}
