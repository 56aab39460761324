package org.cicadaarch.forwarding.simulation

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.observation.AgedLoad
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.forwarding.peer.ObservedDispatch
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/** Guards against loads that look newer than they are, and against routers that are told of none. */
class ObservationAgeTest {
    @Test
    fun `Given routers that hear of one heavy target, when others are told, then soon all are, with no age too low`() {
        for (delay in listOf(2.milliseconds, 100.milliseconds)) {
            val time = VirtualTime()
            val routers = List(ROUTERS) { RecordingDispatch(time) }
            val fleet = SimulatedFleet(routers, time, Random(1))
            fleet.settle()
            fleet.network.delay = delay
            repeat(25) { count ->
                routers[count % ROUTERS].hearOfTargets()
                time.runUntil(time.now + HEARING_INTERVAL)
            }
            assertEquals(
                ROUTERS,
                routers.count {
                    it.agesOverTruth.isNotEmpty()
                },
                "delay $delay: routers that were told",
            )
            val errors = routers.flatMap { it.agesOverTruth }
            assertTrue(errors.min() >= Duration.ZERO, "delay $delay: an age was too low by ${-errors.min()}")
            assertTrue(errors.max() <= MAX_ERROR + delay * WAYS, "delay $delay: an age was too high by ${errors.max()}")
        }
    }

    /** Each load that it hears of is a number by which the time of its report is found again. */
    private class RecordingDispatch(private val time: VirtualTime) : ObservedDispatch {
        private var unreported: Timestamp? = null
        override val targetEntries = TARGETS

        /** By how much the ages that this router was told were above the true ones. */
        val agesOverTruth = mutableListOf<Duration>()

        fun hearOfTargets() {
            unreported = time.now
        }

        override fun takeReport(): ObservationReport {
            val at = unreported ?: return ObservationReport()
            unreported = null
            val light = TARGETS.drop(1).associate { it.id to AgedLoad(requests = 1, age = time.now - at) }
            val heavy = HEAVY to AgedLoad(requests = at.milliseconds.toInt(), age = time.now - at)
            return ObservationReport(loads = light + heavy)
        }

        override fun apply(summary: ObservationSummary) {
            val load = summary.heavyLoads[HEAVY] ?: return
            val trueAge = time.now - Timestamp(load.requests.toLong())
            agesOverTruth += load.age - trueAge
        }
    }

    private companion object {
        const val ROUTERS = 30

        /** As often as a fleet hears from each target. */
        val HEARING_INTERVAL = 200.milliseconds

        /** Twice, the time for which a poll was held is rounded by less than 50 ms. */
        val MAX_ERROR = 100.milliseconds

        /** Three polls with a way there and back each count whole. */
        const val WAYS = 6
        val TARGETS = List(10) {
            TargetEntry(
                id = TargetId("target-$it"),
                service = ServiceName("service"),
                host = "10.1.0.1",
                port = it + 1,
                zone = ZoneName("a"),
                slots = 32,
                isDraining = false,
                startedAtMillis = 1,
                sequence = 1,
            )
        }
        val HEAVY = TARGETS.first().id
    }
}
