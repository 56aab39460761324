package org.cicadaarch.admission

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.model.Timestamp

/**
 * Runs an [AdmissionReducer] as one router does: keeps its state and advances the time by ticks.
 */
internal class AdmissionHarness(private val reducer: AdmissionReducer, initial: AdmissionState) {
    var state = initial
        private set
    private var now = Timestamp(0)

    fun receive(message: AdmissionMessage): List<AdmissionMessage> =
        reduce(AdmissionEvent.Received(AdmissionFixture.other, message))

    fun reduce(event: AdmissionEvent): List<AdmissionMessage> {
        val step = reducer.reduce(state, event, now)
        state = step.state
        return step.effects.filterIsInstance<AdmissionEffect.Send>().map { it.message }
    }

    fun advance(ticks: Int): List<AdmissionMessage> = (1..ticks).flatMap {
        now += 100.milliseconds
        reduce(AdmissionEvent.Tick)
    }
}
