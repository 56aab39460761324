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
    fun `Given an event stream, when it is split into arbitrary chunks, then the same events come out`(
        @ForAll("events") events: List<String>,
        @ForAll("incomplete") incomplete: String,
        @ForAll("lengths") lengths: List<Int>,
    ) {
        val splitter = EventStreamSplitter()
        val chunks = split(events.joinToString(separator = "") + incomplete, lengths).map { Unpooled.copiedBuffer(it) }
        val found = chunks.flatMap { splitter.add(it) }
        assertEquals(events, found.map { it.toString(Charsets.UTF_8) })
        found.forEach(ByteBuf::release)
        splitter.close()
        assertEquals(emptyList(), chunks.filter { it.refCnt() > 0 })
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
    fun incomplete(): Arbitrary<String> = lines()

    @Provide
    fun lengths(): Arbitrary<List<Int>> = Arbitraries.integers().between(1, 12).list().ofMaxSize(60)

    private fun lines(): Arbitrary<String> =
        Arbitraries.strings().withChars('a', ':', ' ', 'é', '漢').ofMinLength(1).ofMaxLength(12)

    private fun split(stream: String, lengths: List<Int>): List<ByteArray> {
        var remaining = stream.toByteArray()
        val chunks = mutableListOf<ByteArray>()
        for (length in lengths) {
            chunks += remaining.copyOf(minOf(length, remaining.size))
            remaining = remaining.copyOfRange(minOf(length, remaining.size), remaining.size)
        }
        return chunks.filter { it.isNotEmpty() } + listOf(remaining).filter { it.isNotEmpty() }
    }
}
