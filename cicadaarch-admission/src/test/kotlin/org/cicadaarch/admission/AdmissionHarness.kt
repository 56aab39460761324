package org.cicadaarch.admission

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.model.Timestamp

/**
 * One router's reducer with its state and a clock that moves by ticks.
 */
internal class Owner(private val reducer: AdmissionReducer, start: AdmissionState) {
    var state = start
        private set
    private var now = Timestamp(0)

    fun receive(message: AdmissionMessage): List<AdmissionMessage> =
        reduce(AdmissionEvent.Received(AdmissionFixture.other, message))

    fun reduce(event: AdmissionEvent): List<AdmissionMessage> {
        val step = reducer.reduce(state, event, now)
        state = step.state
        return step.effects.filterIsInstance<AdmissionEffect.Send>().map { it.message }
    }

    fun pass(ticks: Int): List<AdmissionMessage> = (1..ticks).flatMap {
        now += 100.milliseconds
        reduce(AdmissionEvent.Tick)
    }
}
