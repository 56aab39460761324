package org.cicadaarch.dispatch.capacity

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

class CapacityEstimatesTest {
    /** Guards against services that exclude targets although nothing is wrong, or although no better ones are left. */
    @Test
    fun `Given response times, when they are compared, then only targets slower than the others are limited`() {
        data class Case(val name: String, val times: List<Double>, val limited: Set<Int>)
        val cases = listOf(
            Case("even", listOf(1.0, 1.0, 1.0, 1.0), emptySet()),
            Case("one slow", listOf(1.0, 6.0, 1.0, 1.0), setOf(1)),
            Case("one of two slow", listOf(1.0, 6.0), setOf(1)),
            Case("all slow", listOf(6.0, 6.0, 6.0, 6.0), emptySet()),
            Case("one 2.5 times slower", listOf(1.0, 2.5, 1.0, 1.0), emptySet()),
            Case("the only one slow", listOf(6.0), emptySet()),
        )
        for (case in cases) {
            val estimates = CapacityEstimates().updated(timesOf(case.times), NOW)
            assertEquals(case.limited.map { target(it) }.toSet(), estimates.limited.keys, case.name)
        }
    }

    /** Guards against a target that is held to be slow for a single long response. */
    @Test
    fun `Given one long response, when nothing else is known of the target, then it is not limited`() {
        val times = timesOf(listOf(1.0, 1.0, 1.0)) + (target(1) to RelativeTimes.sample(relativeTime = 100.0))
        assertEquals(emptySet(), CapacityEstimates().updated(times, NOW).limited.keys)
    }

    /** Guards against a slow target whose requests must not be repeated, so that no probe tells of its recovery. */
    @Test
    fun `Given a slow target, when its responses are in time again or none is known, then its share grows again`() {
        data class Case(val name: String, val samples: Int, val within: Duration)
        val cases = listOf(
            Case("in time", samples = 5, within = 3.seconds),
            Case("no response", samples = 0, within = 20.seconds),
        )
        for (case in cases) {
            val times = timesOf(listOf(1.0, 1.0, 1.0)) + (target(1) to RelativeTimes(case.samples.toDouble(), 5.0))
            val estimates = run(slowEstimates(), times, case.within)
            assertEquals(emptySet(), estimates.limited.keys, case.name)
        }
    }

    /** Guards against a target that is slow at more load, and swings between all and nothing. */
    @Test
    fun `Given a target that recovered, when it turns slow again, then its share grows slower than the first time`() {
        val fine = timesOf(listOf(1.0, 1.0, 1.0))
        val slow = timesOf(listOf(1.0, 6.0, 1.0))
        val recovered = run(slowEstimates(), fine, 3.seconds)
        val relapsed = run(recovered, slow, 150.milliseconds, start = NOW + 3.seconds)
        val later = run(relapsed, fine, 3.seconds, start = NOW + 4.seconds)
        assertTrue(later.limited.getValue(target(1)).share < 0.75, "share ${later.limited}")
    }

    /** Guards against routers and targets that state impossible numbers. */
    @Test
    fun `Given impossible numbers, when they are read, then they are clamped`() {
        val samples = listOf(Double.NaN, Double.POSITIVE_INFINITY, -5.0, 1e300).flatMap { number ->
            listOf(
                RelativeTimes.ofStated(number, number, maxSamples = 2.0),
                RelativeTimes.ofStated(1.0, number, maxSamples = 2.0),
                RelativeTimes.sample(number),
            )
        }
        samples.forEach {
            assertTrue(it.samples in 0.0..2.0 && it.total in 0.0..2 * RelativeTimes.MAX_TIME, "$it")
        }
        assertEquals(1.0, TargetCapacity.ofStated(share = 1e9, relativeTime = -1.0).share)
        assertEquals(TargetCapacity.MIN_SHARE, TargetCapacity.ofStated(share = -1e9, relativeTime = 1e9).share)
    }

    private fun slowEstimates() = CapacityEstimates().updated(timesOf(listOf(1.0, 6.0, 1.0)), NOW)

    private fun run(
        estimates: CapacityEstimates,
        times: Map<TargetId, RelativeTimes>,
        duration: Duration,
        start: Timestamp = NOW,
    ): CapacityEstimates {
        val steps = (duration / INTERVAL).toInt()
        return (1..steps).fold(estimates) { before, step -> before.updated(times, start + INTERVAL * step) }
    }

    private fun timesOf(means: List<Double>): Map<TargetId, RelativeTimes> =
        means.withIndex().associate { (index, mean) -> target(index) to RelativeTimes(SAMPLES, mean * SAMPLES) }

    private fun target(number: Int) = TargetId("target-$number")

    private companion object {
        val NOW = Timestamp(100_000)
        val INTERVAL = 150.milliseconds
        const val SAMPLES = 5.0
    }
}
