package org.cicadaarch.protocol

import arrow.core.right
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.microseconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.configuration.dissemination.ConfigurationMessage
import org.cicadaarch.core.PeerMessage
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class PeerCodecProperty {
    @Property(tries = 2_000, seed = "20261204")
    fun `Given a message, when it is encoded and decoded, then it is unchanged`(
        @ForAll("messages") message: PeerMessage,
    ) = assertEquals(message.right(), PeerCodec.decode(PeerCodec.encode(message)))

    @Property(tries = 20_000, seed = "20261204")
    fun `Given arbitrary bytes, when they are decoded, then the result is a message or an error`(
        @ForAll bytes: ByteArray,
    ) {
        PeerCodec.decode(bytes)
    }

    @Property(tries = 20_000, seed = "20261204")
    fun `Given a mutated message, when it is decoded, then the result is a message or an error`(
        @ForAll("messages") message: PeerMessage,
        @ForAll("mutations") mutations: List<ByteMutation>,
    ) {
        PeerCodec.decode(mutations.fold(PeerCodec.encode(message)) { bytes, mutation -> mutation.applyTo(bytes) })
    }

    @ParameterizedTest
    @MethodSource("malformedValues")
    fun `Given malformed CBOR in a message, when it is decoded, then the result is a message or an error`(
        value: MalformedCbor,
    ) {
        val hello = PeerCodec.encode(PeerMessage.Hello(RouterId("router")))
        val fieldStart = String(hello, Charsets.ISO_8859_1).indexOf("sender") - 1
        val fieldName = hello.copyOfRange(fieldStart, fieldStart + "sender".length + 1)
        val unknownFieldName = byteArrayOf(ONE_BYTE_TEXT_HEADER, 'x'.code.toByte())
        val before = hello.copyOf(fieldStart)
        listOf(byteArrayOf(), before, before + fieldName, before + unknownFieldName).forEach { prefix ->
            PeerCodec.decode(prefix + value.bytes)
        }
    }

    @Provide
    fun messages(): Arbitrary<PeerMessage> = Arbitraries.oneOf(
        texts().map { PeerMessage.Hello(RouterId(it)) },
        Arbitraries.longs().map { PeerMessage.Heartbeat(it) },
        Combinators.combine(Arbitraries.longs(), attempts()).`as` { fingerprint, attempt ->
            PeerMessage.CrashReported(Fingerprint(fingerprint), attempt)
        },
        Combinators.combine(attempts(), texts(), Arbitraries.integers().greaterOrEqual(0)).`as` { attempt, name, wait ->
            PeerMessage.ToIngress(AdmissionMessage.PermitQueued(attempt, TargetId(name), wait.microseconds))
        },
        Combinators.combine(attempts(), texts(), texts().injectNull(0.3)).`as` { attempt, name, hint ->
            PeerMessage.ToIngress(AdmissionMessage.PermitRedirected(attempt, TargetId(name), hint?.let(::TargetId)))
        },
        Combinators.combine(texts(), texts()).`as` { name, text ->
            val placed = AdmissionMessage.ChatPlaced(TargetId(name), AccountId(text), ChatId(text), TargetId(name))
            PeerMessage.ToAdmissionOwner(placed)
        },
        Arbitraries.maps(texts(), Arbitraries.longs()).ofMaxSize(5).map { revisions ->
            val held = revisions.entries.associate { RouterId(it.key) to Revision(it.value) }
            PeerMessage.ToConfiguration(ConfigurationMessage.RevisionsReported(held))
        },
        Arbitraries.just(PeerMessage.ToConfiguration(ConfigurationMessage.RevisionRequested)),
    )

    @Provide
    fun mutations(): Arbitrary<List<ByteMutation>> = Combinators
        .combine(Arbitraries.of(ByteMutation.Kind::class.java), Arbitraries.doubles().between(0.0, 1.0), anyByte())
        .`as` { kind, position, value -> ByteMutation(kind, position, value) }
        .list()
        .ofMinSize(1)
        .ofMaxSize(4)

    private fun anyByte(): Arbitrary<Byte> = Arbitraries.bytes()

    private fun texts(): Arbitrary<String> =
        Arbitraries.strings().withCharRange('!', '\u02ff').ofMinLength(1).ofMaxLength(40)

    private fun attempts(): Arbitrary<AttemptId> = Combinators
        .combine(texts(), Arbitraries.integers().greaterOrEqual(1))
        .`as` { request, number -> AttemptId(RequestId(request), number) }

    companion object {
        private const val ONE_BYTE_TEXT_HEADER: Byte = 0x61
        private const val NESTING_DEPTH = 1_000_000

        @JvmStatic
        fun malformedValues(): List<MalformedCbor> = listOf(
            MalformedCbor("byte string of 2 GiB", bytes(0x5a, 0x7f, 0xff, 0xff, 0xff)),
            MalformedCbor("byte string of length -1", bytes(0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff)),
            MalformedCbor("text string of 2 GiB", bytes(0x7a, 0x7f, 0xff, 0xff, 0xff)),
            MalformedCbor("array of 2 billion items", bytes(0x9a, 0x7f, 0xff, 0xff, 0xff)),
            MalformedCbor("map of 2 billion entries", bytes(0xba, 0x7f, 0xff, 0xff, 0xff)),
            MalformedCbor("nested arrays", ByteArray(NESTING_DEPTH) { 0x81.toByte() }),
            MalformedCbor("nested indefinite-length arrays", ByteArray(NESTING_DEPTH) { 0x9f.toByte() }),
            MalformedCbor("nested maps", ByteArray(NESTING_DEPTH) { 0xa1.toByte() }),
            MalformedCbor("nested indefinite-length byte strings", ByteArray(NESTING_DEPTH) { 0x5f }),
            MalformedCbor("nested indefinite-length text strings", ByteArray(NESTING_DEPTH) { 0x7f }),
            MalformedCbor("truncated indefinite-length text string", bytes(0x7f, 0x61, 0x61)),
            MalformedCbor("nested tags", ByteArray(NESTING_DEPTH) { 0xc1.toByte() }),
            MalformedCbor("break codes", ByteArray(NESTING_DEPTH) { 0xff.toByte() }),
            MalformedCbor("zero bytes", ByteArray(NESTING_DEPTH)),
        )

        private fun bytes(vararg values: Int): ByteArray = ByteArray(values.size) { values[it].toByte() }
    }
}
