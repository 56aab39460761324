package org.cicadaarch.forwarding.stream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import kotlin.test.assertEquals
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide

class EventStreamSplitterProperty {
    @Property(tries = 3_000, seed = "20261204")
    fun `Given a stream, when it is cut anywhere, then the same whole events come out`(
        @ForAll("events") events: List<String>,
        @ForAll("unfinished") unfinished: String,
        @ForAll("lengths") lengths: List<Int>,
    ) {
        val splitter = EventStreamSplitter()
        val parts = cut(events.joinToString(separator = "") + unfinished, lengths).map { Unpooled.copiedBuffer(it) }
        val found = parts.flatMap { splitter.add(it) }
        assertEquals(events, found.map { it.toString(Charsets.UTF_8) })
        found.forEach(ByteBuf::release)
        splitter.close()
        assertEquals(emptyList(), parts.filter { it.refCnt() > 0 })
    }

    @Provide
    fun events(): Arbitrary<List<String>> = lines()
        .list()
        .ofMinSize(1)
        .ofMaxSize(4)
        .flatMap { event -> Arbitraries.of("\n", "\r\n").map { end -> event.joinToString("") { it + end } + end } }
        .list()
        .ofMaxSize(8)

    @Provide
    fun unfinished(): Arbitrary<String> = lines()

    @Provide
    fun lengths(): Arbitrary<List<Int>> = Arbitraries.integers().between(1, 12).list().ofMaxSize(60)

    private fun lines(): Arbitrary<String> =
        Arbitraries.strings().withChars('a', ':', ' ', 'é', '漢').ofMinLength(1).ofMaxLength(12)

    private fun cut(stream: String, lengths: List<Int>): List<ByteArray> {
        var rest = stream.toByteArray()
        val parts = mutableListOf<ByteArray>()
        for (length in lengths) {
            parts += rest.copyOf(minOf(length, rest.size))
            rest = rest.copyOfRange(minOf(length, rest.size), rest.size)
        }
        return parts.filter { it.isNotEmpty() } + listOf(rest).filter { it.isNotEmpty() }
    }
}
