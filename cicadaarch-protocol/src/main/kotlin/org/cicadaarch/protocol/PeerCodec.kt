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
 * Encodes the messages between routers as CBOR (RFC 8949).
 *
 * On a connection, each message is one frame: its length as a four-byte big-endian integer, then its bytes.
 */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    /** The maximum size of a message that a router accepts, in bytes. */
    const val MAXIMUM_MESSAGE_BYTES: Int = 4 * 1024 * 1024

    /** The size of the length field of a frame, in bytes. */
    const val LENGTH_BYTES: Int = 4

    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
        useDefiniteLengthEncoding = true
    }

    /** Encodes [message], without the length field of the frame. */
    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(message)

    /** Decodes [bytes], which must be exactly one message without the length field of the frame. */
    fun decode(bytes: ByteArray): Either<PeerCodecError, PeerMessage> = try {
        cbor.decodeFromByteArray<PeerMessage>(bytes).right()
    } catch (exception: RuntimeException) {
        // The CBOR reader throws exceptions of several types on malformed input, not only SerializationException.
        PeerCodecError(exception.message ?: "malformed CBOR").left()
    } catch (_: StackOverflowError) {
        // The CBOR reader recurses without end when a text or byte string of indefinite length is truncated.
        PeerCodecError("strings are nested too deeply or truncated").left()
    }
}
