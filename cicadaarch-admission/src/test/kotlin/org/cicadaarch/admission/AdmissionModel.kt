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
 * Runs the owner under test next to an oracle that keeps permits and queued requests in plain maps and checks every
 * response of the owner and its counts.
 */
internal class AdmissionModel(
    private val reduce: (AdmissionState, AdmissionEvent, Timestamp) -> Step<AdmissionState, AdmissionEffect>,
) {
    private val fleet = AdmissionFixture.fleet(targets = TARGETS, capacity = CAPACITY)
    private var state =
        AdmissionState(AdmissionFixture.view(AdmissionFixture.self, setOf(AdmissionFixture.self)), fleet)
    private var now = Timestamp(0)
    private val held = HashMap<AttemptOnTarget, Timestamp>()
    private val queued = HashMap<AttemptOnTarget, Timestamp>()
    private val ended = HashMap<AttemptOnTarget, Timestamp>()

    data class AttemptOnTarget(val attempt: AttemptId, val target: TargetId)

    fun request(attempt: Int, target: Int, account: Int, timeAllowedMilliseconds: Int, redirects: Int) {
        val request = AttemptOnTarget(AdmissionFixture.attempt(attempt), AdmissionFixture.target(target))
        val demand = AdmissionFixture.demand(
            account = "account-$account",
            timeAllowed = timeAllowedMilliseconds.milliseconds,
            redirects = redirects,
        )
        val wasQueued = request in queued
        val answered = receive(PermitRequest(request.attempt, request.target, demand))
        check(answered.any { it == request }) { "no response for $request" }
        if (!wasQueued && request in queued) queued[request] = now + timeAllowedMilliseconds.milliseconds
    }

    fun release(attempt: Int, target: Int) {
        val request = AttemptOnTarget(AdmissionFixture.attempt(attempt), AdmissionFixture.target(target))
        held -= request
        queued -= request
        ended[request] = now
        receive(PermitReleased(request.attempt, request.target))
    }

    fun renew(attempt: Int, target: Int) {
        val request = AttemptOnTarget(AdmissionFixture.attempt(attempt), AdmissionFixture.target(target))
        if (request !in held) return
        held[request] = now + LEASE
        receive(PermitsRenewed(request.target, listOf(HeldPermit(request.attempt, AdmissionFixture.demand()))))
    }

    fun advance(ticks: Int) = repeat(ticks) {
        now += TICK
        held.values.removeIf { it + TICK < now }
        apply(AdmissionEvent.Tick)
        queued.forEach { (request, deadline) ->
            check(deadline + TICK + TICK >= now) { "$request is still queued after its deadline" }
        }
    }

    private fun receive(message: AdmissionMessage): List<AttemptOnTarget> =
        apply(AdmissionEvent.Received(AdmissionFixture.other, message))

    private fun apply(event: AdmissionEvent): List<AttemptOnTarget> {
        val events = ArrayDeque(listOf(event))
        val answered = mutableListOf<AttemptOnTarget>()
        while (events.isNotEmpty()) {
            val step = reduce(state, events.removeFirst(), now)
            state = step.state
            step.effects.filterIsInstance<AdmissionEffect.Send>().forEach { effect ->
                recordResponse(effect.message)?.let { answered += it }
                if (effect.to == AdmissionFixture.self) {
                    events += AdmissionEvent.Received(AdmissionFixture.self, effect.message)
                }
            }
        }
        checkCounts()
        return answered
    }

    private fun recordResponse(message: AdmissionMessage): AttemptOnTarget? = when (message) {
        is PermitGranted -> AttemptOnTarget(message.attempt, message.target).also {
            check(ended[it] == null || now - ended.getValue(it) >= LEASE) { "$it was granted after its release" }
            held[it] = now + LEASE
            queued -= it
            check(unexpiredPermits(it.target) <= CAPACITY) { "${it.target} has more permits than capacity" }
        }

        is PermitQueued -> AttemptOnTarget(message.attempt, message.target).also { queued.putIfAbsent(it, now) }

        is PermitRedirected -> AttemptOnTarget(message.attempt, message.target).also { queued -= it }

        is PermitRefused -> AttemptOnTarget(message.attempt, message.target).also { queued -= it }

        else -> null
    }

    private fun unexpiredPermits(target: TargetId) =
        held.count { (request, expiresAt) -> request.target == target && expiresAt > now }

    private fun checkCounts() = (1..TARGETS).map(AdmissionFixture::target).forEach { target ->
        val expected = held.filterKeys { it.target == target }.size
        val expiring = held.count { (request, expiresAt) -> request.target == target && expiresAt <= now + TICK }
        val counted = state.inFlight(target)
        check(counted in expected - expiring..expected) { "$target has $counted permits, expected $expected" }
        val expectedQueued = queued.keys.count { it.target == target }
        check(state.queued(target) == expectedQueued) {
            "$target has ${state.queued(target)} queued requests, expected $expectedQueued"
        }
    }

    companion object {
        const val TARGETS = 2
        const val CAPACITY = 3
        private val LEASE = AdmissionSettings().permitLease
        private val TICK = 100.milliseconds
    }
}
