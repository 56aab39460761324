package org.cicadaarch.forwarding.peer

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import org.cicadaarch.dispatch.observation.AgedLoad
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.observation.PromptId
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId

class ObservationMessagesTest {
    @Test
    fun `Given a report, when it is sent to another router, then that one reads the same`() {
        val report = ObservationReport(mapOf(PROMPT to 2.seconds), mapOf(TARGET to AgedLoad(3, 250.milliseconds)))
        val text = Json.encodeToString(ReportMessage.of(report))
        assertEquals(report, PeerJson.decodeFromString<ReportMessage>(text).toReport())
    }

    @Test
    fun `Given a summary, when it is sent to another router, then that one reads the same`() {
        val summary = ObservationSummary(
            age = 120.milliseconds,
            demands = mapOf(PROMPT to 17.25),
            typicalLoads = mapOf(ServiceName("service") to 2.5),
            heavyLoads = mapOf(TARGET to AgedLoad(9, 700.milliseconds)),
        )
        val text = Json.encodeToString(SummaryMessage.of(summary))
        assertEquals(summary, PeerJson.decodeFromString<SummaryMessage>(text).toSummary())
    }

    @Test
    fun `Given values that no router sends, when they are read, then they are limited or left out`() {
        val text = """{"work":{"not a prompt!":5,"abc":-7,"abd":${Long.MAX_VALUE}},
            |"loads":{"t":{"n":-4,"a":-9}},"later":[1]}"""
        val report = PeerJson.decodeFromString<ReportMessage>(text.trimMargin()).toReport()
        assertEquals(listOf(0L, 3_600L), report.work.values.map { it.inWholeSeconds })
        assertEquals(AgedLoad(0, 0.milliseconds), report.loads.getValue(TargetId("t")))
    }

    /** Guards against fields in a response that a router of an earlier version cannot read. */
    @Test
    fun `Given a poll that asks for no observations, when it is answered, then the response has no field for them`() {
        val text = Json.encodeToString(PeerResponse(emptyList(), emptyList(), isWatchingStore = true))
        assertFalse("observations" in text || "heldMillis" in text, text)
    }

    private companion object {
        val PROMPT = PromptId.of(ServiceName("service"), "prompt")
        val TARGET = TargetId("target-1")
    }
}
