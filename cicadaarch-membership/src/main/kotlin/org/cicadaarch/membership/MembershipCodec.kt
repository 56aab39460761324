package org.cicadaarch.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/**
 * Turns membership messages into datagrams of CBOR and back.
 */
@OptIn(ExperimentalSerializationApi::class)
object MembershipCodec {
    private val format = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        useDefiniteLengthEncoding = true
    }

    /** The datagram of [message]. */
    fun encode(message: MembershipMessage): ByteArray =
        format.encodeToByteArray(MembershipMessage.serializer(), message)

    /** The message in [datagram], or null when it is not one. */
    fun decode(datagram: ByteArray): MembershipMessage? = try {
        format.decodeFromByteArray(MembershipMessage.serializer(), datagram)
    } catch (_: RuntimeException) {
        // The format reports bad input by several types, IllegalStateException among them.
        null
    } catch (_: StackOverflowError) {
        // The format recurses without end on some bad input.
        null
    }
}
