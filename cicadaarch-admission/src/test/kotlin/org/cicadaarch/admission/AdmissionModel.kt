package org.cicadaarch.admission

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.admission.AdmissionMessage.PermitGranted
import org.cicadaarch.admission.AdmissionMessage.PermitQueued
import org.cicadaarch.admission.AdmissionMessage.PermitRedirected
import org.cicadaarch.admission.AdmissionMessage.PermitRefused
import org.cicadaarch.admission.AdmissionMessage.PermitReleased
import org.cicadaarch.admission.AdmissionMessage.PermitRequest
import org.cicadaarch.admission.AdmissionMessage.PermitsRenewed
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The owner under test beside an oracle that keeps permits in a plain map and judges every answer.
 */
internal class AdmissionModel(
    private val reduce: (AdmissionState, AdmissionEvent, Timestamp) -> Step<AdmissionState, AdmissionEffect>,
) {
    private val fleet = AdmissionFixture.fleet(targets = TARGETS, capacity = CAPACITY)
    private var state =
        AdmissionState(AdmissionFixture.view(AdmissionFixture.self, setOf(AdmissionFixture.self)), fleet)
    private var now = Timestamp(0)
    private val held = HashMap<Place, Timestamp>()
    private val queued = HashMap<Place, Timestamp>()
    private val ended = HashMap<Place, Timestamp>()

    data class Place(val attempt: AttemptId, val target: TargetId)

    fun request(attempt: Int, target: Int, account: Int, allowedMilliseconds: Int, spills: Int) {
        val place = Place(AdmissionFixture.attempt(attempt), AdmissionFixture.target(target))
        val demand = AdmissionFixture.demand(
            account = "account-$account",
            timeAllowed = allowedMilliseconds.milliseconds,
            redirects = spills,
        )
        val known = place in queued
        val answers = receive(PermitRequest(place.attempt, place.target, demand))
        check(answers.any { it == place }) { "$place was not answered" }
        if (!known && place in queued) queued[place] = now + allowedMilliseconds.milliseconds
    }

    fun release(attempt: Int, target: Int) {
        val place = Place(AdmissionFixture.attempt(attempt), AdmissionFixture.target(target))
        held -= place
        queued -= place
        ended[place] = now
        receive(PermitReleased(place.attempt, place.target))
    }

    fun renew(attempt: Int, target: Int) {
        val place = Place(AdmissionFixture.attempt(attempt), AdmissionFixture.target(target))
        if (place !in held) return
        held[place] = now + LEASE
        receive(PermitsRenewed(place.target, listOf(HeldPermit(place.attempt, AdmissionFixture.demand()))))
    }

    fun pass(ticks: Int) = repeat(ticks) {
        now += TICK
        held.values.removeIf { it + TICK < now }
        apply(AdmissionEvent.Tick)
        queued.forEach { (place, deadline) -> check(deadline + TICK + TICK >= now) { "$place is queued for ever" } }
    }

    private fun receive(message: AdmissionMessage): List<Place> =
        apply(AdmissionEvent.Received(AdmissionFixture.other, message))

    private fun apply(event: AdmissionEvent): List<Place> {
        val loopback = ArrayDeque(listOf(event))
        val answers = mutableListOf<Place>()
        while (loopback.isNotEmpty()) {
            val step = reduce(state, loopback.removeFirst(), now)
            state = step.state
            step.effects.filterIsInstance<AdmissionEffect.Send>().forEach { effect ->
                judged(effect.message)?.let { answers += it }
                if (effect.to == AdmissionFixture.self) {
                    loopback += AdmissionEvent.Received(AdmissionFixture.self, effect.message)
                }
            }
        }
        compare()
        return answers
    }

    private fun judged(message: AdmissionMessage): Place? = when (message) {
        is PermitGranted -> Place(message.attempt, message.target).also {
            check(ended[it] == null || now - ended.getValue(it) >= LEASE) { "$it was granted after its release" }
            held[it] = now + LEASE
            queued -= it
            check(live(it.target) <= CAPACITY) { "$it is over the capacity" }
        }

        is PermitQueued -> Place(message.attempt, message.target).also { queued.putIfAbsent(it, now) }

        is PermitRedirected -> Place(message.attempt, message.target).also { queued -= it }

        is PermitRefused -> Place(message.attempt, message.target).also { queued -= it }

        else -> null
    }

    private fun live(target: TargetId) = held.count { (place, lapse) -> place.target == target && lapse > now }

    private fun compare() = (1..TARGETS).map(AdmissionFixture::target).forEach { target ->
        val expected = held.filterKeys { it.target == target }.size
        val lapsing = held.count { (place, lapse) -> place.target == target && lapse <= now + TICK }
        val counted = state.inFlight(target)
        check(counted in expected - lapsing..expected) { "$target counts $counted of $expected permits" }
        val waiting = queued.keys.count { it.target == target }
        check(state.queued(target) == waiting) { "$target queues ${state.queued(target)}, expected $waiting" }
    }

    companion object {
        const val TARGETS = 2
        const val CAPACITY = 3
        private val LEASE = AdmissionSettings().permitLease
        private val TICK = 100.milliseconds
    }
}
