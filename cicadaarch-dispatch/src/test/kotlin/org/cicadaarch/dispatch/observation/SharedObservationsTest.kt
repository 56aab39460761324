package org.cicadaarch.dispatch.observation

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

class SharedObservationsTest {
    private val now = Timestamp(100_000)
    private val empty = SharedObservations(imbalanceFactor = 2.0)

    @Test
    fun `Given loads of targets, when a summary is made, then it lists the heavy ones and the mean of the others`() {
        val loads = LIGHT + (HEAVY to AgedLoad(requests = 20, age = 200.milliseconds))
        val summary = empty.withReport(ObservationReport(loads = loads), now).fleetSummary(now + 300.milliseconds)
        assertEquals(mapOf(HEAVY to AgedLoad(requests = 20, age = 500.milliseconds)), summary.heavyLoads)
        assertEquals(mapOf(SERVICE to 2.0), summary.typicalLoads)
    }

    /** Guards against an old load that looks new because it came later, or because another router passed it on. */
    @Test
    fun `Given two loads of a target, when the older one comes last, then the newer one holds`() {
        data class Case(val name: String, val add: SharedObservations.() -> SharedObservations)
        val old = mapOf(HEAVY to AgedLoad(requests = 30, age = 900.milliseconds))
        val cases = listOf(
            Case("by a report") { withReport(ObservationReport(loads = old), now) },
            Case("by a summary") { withSummary(OTHER, ObservationSummary(heavyLoads = old), now) },
            Case("by a summary that was long on its way") {
                val young = mapOf(HEAVY to AgedLoad(requests = 30, age = Duration.ZERO))
                withSummary(OTHER, ObservationSummary(heavyLoads = young).aged(900.milliseconds), now)
            },
        )
        for (case in cases) {
            val newer = ObservationReport(loads = LIGHT + (HEAVY to AgedLoad(requests = 25, age = 50.milliseconds)))
            val summary = case.add(empty.withReport(newer, now)).fleetSummary(now)
            assertEquals(AgedLoad(requests = 25, age = 50.milliseconds), summary.heavyLoads[HEAVY], case.name)
        }
    }

    @Test
    fun `Given observations, when they are older than their lifetime, then nothing is left of them`() {
        val loads = mapOf(HEAVY to AgedLoad(requests = 30, age = Duration.ZERO))
        val summary = ObservationSummary(demands = mapOf(PROMPT to 9.0), heavyLoads = loads)
        val later = now + SharedObservations.SUMMARY_LIFETIME + 1.milliseconds
        val observations = empty.withReport(ObservationReport(loads = loads), now).withSummary(OTHER, summary, now)
        val left = observations.pruned(later).fleetSummary(later)
        assertEquals(emptyMap(), left.heavyLoads)
        assertNull(left.demands[PROMPT])
    }

    @Test
    fun `Given demand at several routers, when summaries are made, then only that of the fleet adds it up`() {
        val report = ObservationReport(work = mapOf(PROMPT to 3.seconds))
        val summary = ObservationSummary(demands = mapOf(PROMPT to 4.0))
        val observations = empty.withReport(report, now).withSummary(OTHER, summary, now)
        assertEquals(7.0, observations.fleetSummary(now).demands[PROMPT])
        assertEquals(3.0, observations.summary(ObservationScope.FIRSTHAND, TARGETS, now).demands[PROMPT])
    }

    @Test
    fun `Given a summary of a router, when it sends another one, then the demand is not counted twice`() {
        val summary = ObservationSummary(demands = mapOf(PROMPT to 4.0))
        val observations = empty.withSummary(OTHER, summary, now).withSummary(OTHER, summary, now + 100.milliseconds)
        assertEquals(4.0, observations.fleetSummary(now + 100.milliseconds).demands[PROMPT])
    }

    @Test
    fun `Given more prompts than a summary lists, when it is made, then it lists those with the most demand`() {
        val work = (1..500).associate { PromptId.of(SERVICE, "$it") to (it * 10).milliseconds }
        val demands = empty.withReport(ObservationReport(work = work), now).fleetSummary(now).demands
        assertEquals(32, demands.size)
        assertEquals(4.69, demands.values.min(), absoluteTolerance = 0.001)
    }

    private fun SharedObservations.fleetSummary(at: Timestamp) = summary(ObservationScope.FLEET, TARGETS, at)

    private companion object {
        val SERVICE = DispatchFixture.SERVICE
        val PROMPT = PromptId.of(SERVICE, "prompt")
        val OTHER = RouterAddress("10.0.0.2", 8000)
        val TARGETS = List(10) { DispatchFixture.target("target-$it", slots = 32) }
        val HEAVY = TARGETS.first().id
        val LIGHT = TARGETS.drop(1).associate { it.id to AgedLoad(requests = 2, age = 100.milliseconds) }
    }
}
