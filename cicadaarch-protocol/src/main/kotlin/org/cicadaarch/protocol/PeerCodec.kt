package org.cicadaarch.protocol

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.cicadaarch.core.PeerMessage

/**
 * Encodes messages between routers in CBOR (RFC 8949). A frame on a connection is a four-byte big-endian length and
 * that many bytes of one message.
 */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    /** The longest message that a router accepts, in bytes. */
    const val MAXIMUM_MESSAGE_BYTES: Int = 4 * 1024 * 1024

    /** The size of a frame's length field, in bytes. */
    const val LENGTH_BYTES: Int = 4

    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        useDefiniteLengthEncoding = true
    }

    /** The bytes of [message], without the length. */
    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(message)

    /** The message in [bytes], or why they are none. */
    fun decode(bytes: ByteArray): Either<PeerCodecError, PeerMessage> = try {
        cbor.decodeFromByteArray<PeerMessage>(bytes).right()
    } catch (exception: RuntimeException) {
        // The CBOR reader answers malformed bytes with exceptions of several kinds, not only SerializationException.
        PeerCodecError(exception.message ?: "not a message").left()
    } catch (_: StackOverflowError) {
        // The CBOR reader descends without end into a text or byte string of open length that is cut short.
        PeerCodecError("strings nested too deep, or cut short").left()
    }
}
