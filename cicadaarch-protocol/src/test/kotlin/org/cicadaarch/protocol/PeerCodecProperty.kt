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
    fun `Given a message, when it is encoded and decoded, then it is the same`(
        @ForAll("messages") message: PeerMessage,
    ) = assertEquals(message.right(), PeerCodec.decode(PeerCodec.encode(message)))

    @Property(tries = 20_000, seed = "20261204")
    fun `Given arbitrary bytes, when they are decoded, then a message or an error comes out`(@ForAll bytes: ByteArray) {
        PeerCodec.decode(bytes)
    }

    @Property(tries = 20_000, seed = "20261204")
    fun `Given a changed message, when it is decoded, then a message or an error comes out`(
        @ForAll("messages") message: PeerMessage,
        @ForAll("changes") changes: List<ByteChange>,
    ) {
        PeerCodec.decode(changes.fold(PeerCodec.encode(message)) { bytes, change -> change.applyTo(bytes) })
    }

    @ParameterizedTest
    @MethodSource("hostileValues")
    fun `Given a hostile value in a message, when it is decoded, then a message or an error comes out`(
        value: HostileValue,
    ) {
        val hello = PeerCodec.encode(PeerMessage.Hello(RouterId("router")))
        val field = String(hello, Charsets.ISO_8859_1).indexOf("sender") - 1
        val name = hello.copyOfRange(field, field + "sender".length + 1)
        val unknown = byteArrayOf(TEXT_OF_ONE_BYTE, 'x'.code.toByte())
        val before = hello.copyOf(field)
        listOf(byteArrayOf(), before, before + name, before + unknown).forEach { PeerCodec.decode(it + value.bytes) }
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
    fun changes(): Arbitrary<List<ByteChange>> = Combinators
        .combine(Arbitraries.of(ByteChange.Kind::class.java), Arbitraries.doubles().between(0.0, 1.0), anyByte())
        .`as` { kind, position, value -> ByteChange(kind, position, value) }
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
        private const val TEXT_OF_ONE_BYTE: Byte = 0x61
        private const val DEPTH = 1_000_000

        @JvmStatic
        fun hostileValues(): List<HostileValue> = listOf(
            HostileValue("byte string of two gibibytes", bytes(0x5a, 0x7f, 0xff, 0xff, 0xff)),
            HostileValue("byte string of negative length", bytes(0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff)),
            HostileValue("text of two gibibytes", bytes(0x7a, 0x7f, 0xff, 0xff, 0xff)),
            HostileValue("list of two thousand million", bytes(0x9a, 0x7f, 0xff, 0xff, 0xff)),
            HostileValue("map of two thousand million", bytes(0xba, 0x7f, 0xff, 0xff, 0xff)),
            HostileValue("nested lists", ByteArray(DEPTH) { 0x81.toByte() }),
            HostileValue("nested open lists", ByteArray(DEPTH) { 0x9f.toByte() }),
            HostileValue("nested maps", ByteArray(DEPTH) { 0xa1.toByte() }),
            HostileValue("nested open byte strings", ByteArray(DEPTH) { 0x5f }),
            HostileValue("nested open texts", ByteArray(DEPTH) { 0x7f }),
            HostileValue("open text cut short", bytes(0x7f, 0x61, 0x61)),
            HostileValue("nested tags", ByteArray(DEPTH) { 0xc1.toByte() }),
            HostileValue("breaks", ByteArray(DEPTH) { 0xff.toByte() }),
            HostileValue("zeros", ByteArray(DEPTH)),
        )

        private fun bytes(vararg values: Int): ByteArray = ByteArray(values.size) { values[it].toByte() }
    }
}
