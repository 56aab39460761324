package org.cicadaarch.configuration

import arrow.core.right
import kotlin.test.Test
import kotlin.test.assertEquals
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument

class FleetDocumentWriterTest {
    @Property(tries = 300, seed = "20261204")
    fun `Given any valid document, when it is written and parsed, then the result equals it`(
        @ForAll("documents") document: FleetDocument,
    ) {
        val text = FleetDocumentWriter.write(document)
        assertEquals(document.right(), FleetDocumentParser.parse(text), text)
        assertEquals(text, FleetDocumentWriter.write(ExampleDocuments.parse(text)))
    }

    @Provide
    fun documents(): Arbitrary<FleetDocument> = FleetDocumentArbitraries.documents()

    @Test
    fun `Given an edited document, when it is compared with the original, then each changed path is listed`() {
        val before = ExampleDocuments.hireDesk
        val leaving = TargetId("hire-engine-3")
        val after = before.copy(
            activePreset = PresetName("peak"),
            targets = before.targets + (leaving to before.targets.getValue(leaving).copy(leaving = true)),
            accounts = before.accounts.entries.reversed().associate { it.toPair() },
        )
        assertEquals(
            listOf("activePreset: ordinary -> peak", "targets.hire-engine-3.leaving: (absent) -> true"),
            DocumentDifference.between(before, after).map { it.toString() }.sorted(),
        )
    }
}
