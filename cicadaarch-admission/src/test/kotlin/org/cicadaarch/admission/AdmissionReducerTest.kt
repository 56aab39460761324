package org.cicadaarch.admission

import kotlin.math.ceil
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionMessage.ChatPlaced
import org.cicadaarch.admission.AdmissionMessage.GroupLoadReported
import org.cicadaarch.admission.AdmissionMessage.PermitGranted
import org.cicadaarch.admission.AdmissionMessage.PermitQueued
import org.cicadaarch.admission.AdmissionMessage.PermitRedirected
import org.cicadaarch.admission.AdmissionMessage.PermitRefused
import org.cicadaarch.admission.AdmissionMessage.PermitReleased
import org.cicadaarch.admission.AdmissionMessage.PermitRequest
import org.cicadaarch.admission.AdmissionMessage.PermitsHandedOver
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId

class AdmissionReducerTest {
    private val reducer = AdmissionReducer()
    private val self = AdmissionFixture.self
    private val other = AdmissionFixture.other
    private val first = AdmissionFixture.target(1)

    private fun owner(targets: Int, capacity: Int, weights: Map<String, Int> = emptyMap()) = AdmissionHarness(
        reducer,
        AdmissionState(
            AdmissionFixture.view(self, setOf(self)),
            AdmissionFixture.fleet(targets, capacity, weights = weights),
        ),
    )

    private fun AdmissionHarness.ask(number: Int, demand: PermitDemand = AdmissionFixture.demand()): AdmissionMessage =
        receive(PermitRequest(AdmissionFixture.attempt(number), first, demand)).first()

    @Test
    fun `Given a reported group load, when requests arrive, then the grants stay within the load bound`() {
        data class Case(val total: Int, val targets: Int, val capacity: Int)
        listOf(Case(0, 8, 16), Case(40, 8, 16), Case(70, 8, 16), Case(200, 4, 16)).forEach { case ->
            val owner = owner(case.targets, case.capacity)
            owner.advance(1)
            owner.receive(GroupLoadReported(AdmissionFixture.group, case.total, case.targets * case.capacity))
            val granted = (1..60).count {
                owner.ask(it, AdmissionFixture.demand(isReturning = true, redirects = 3)) is PermitGranted
            }
            val bound = ceil(1.25 * (case.total + granted) / case.targets).toInt()
            assertTrue(granted <= minOf(bound, case.capacity), "$granted permits granted for $case, bound is $bound")
            assertTrue(granted > 0, "no permit granted for $case")
        }
    }

    @Test
    fun `Given a chat that ran on another target, when its next turn arrives, then it is redirected to that target`() {
        val owner = owner(targets = 3, capacity = 4)
        val second = AdmissionFixture.target(2)
        owner.receive(ChatPlaced(first, AccountId("account"), ChatId("chat"), second))
        val response = owner.ask(1, AdmissionFixture.demand(chat = "chat", isReturning = true))
        val expected =
            PermitRedirected(AdmissionFixture.attempt(1), first, second, hasFreeSlots = true, hintRanChat = true)
        assertEquals<AdmissionMessage>(expected, response)
    }

    @Test
    fun `Given a long queue of two accounts, when another one asks, then it waits for at most one release per slot`() {
        val owner = owner(targets = 1, capacity = 4)
        (1..4).forEach { owner.ask(it, AdmissionFixture.demand("large-1", timeAllowed = 90.seconds)) }
        (5..24).forEach { owner.ask(it, AdmissionFixture.demand("large-${1 + it % 2}", timeAllowed = 90.seconds)) }
        assertTrue(owner.ask(25, AdmissionFixture.demand("small")) is PermitQueued)
        val served = (1..4).flatMap { owner.receive(PermitReleased(AdmissionFixture.attempt(it), first)) }
        assertTrue(served.any { it is PermitGranted && it.attempt == AdmissionFixture.attempt(25) })
    }

    @Test
    fun `Given a full queue, when an account without requests asks, then the largest account loses a queued request`() {
        val owner = owner(targets = 1, capacity = 1)
        (1..9).forEach { owner.ask(it, AdmissionFixture.demand("large", timeAllowed = 90.seconds)) }
        val responses = owner.receive(
            PermitRequest(
                AdmissionFixture.attempt(10),
                first,
                AdmissionFixture.demand("small", timeAllowed = 90.seconds),
            ),
        )
        assertEquals(PermitRefusal.QUEUE_FULL, responses.filterIsInstance<PermitRefused>().single().reason)
        assertEquals(AdmissionFixture.attempt(9), responses.filterIsInstance<PermitRefused>().single().attempt)
        assertTrue(responses.any { it is PermitQueued && it.attempt == AdmissionFixture.attempt(10) })
    }

    @Test
    fun `Given a load report above the number of permits, when requests arrive, then the excess occupies slots`() {
        val owner = owner(targets = 1, capacity = 4)
        owner.reduce(AdmissionEvent.LoadReported(first, running = 3, waiting = 0))
        assertTrue(owner.ask(1) is PermitGranted)
        assertTrue(owner.ask(2) is PermitQueued)
    }

    @Test
    fun `Given a new owner of a target, when permits are handed over, then they replace the estimated load`() {
        val view = AdmissionFixture.view(self, setOf(self, other))
        val fleet = AdmissionFixture.fleet(targets = 6, capacity = 4)
        val gained = fleet.targets.keys.first { TargetOwnership.ownerOf(it, view) == other }
        val owner = AdmissionHarness(reducer, AdmissionState(view, fleet))
        owner.reduce(AdmissionEvent.RoutersChanged(AdmissionFixture.view(self, setOf(self))))
        val permits = (1..2).map {
            HandedOverPermit(other, HeldPermit(AdmissionFixture.attempt(it), AdmissionFixture.demand()))
        }
        owner.receive(PermitsHandedOver(gained, permits))
        val load = owner.state.targets.getValue(gained)
        assertEquals(2, load.load)
        assertEquals(2, owner.state.inFlight(gained))
    }

    @Test
    fun `Given an owner that loses a target, when the list of routers changes, then it hands over its permits`() {
        val fleet = AdmissionFixture.fleet(targets = 6, capacity = 4)
        val largerView = AdmissionFixture.view(self, setOf(self, other))
        val lost = fleet.targets.keys.first { TargetOwnership.ownerOf(it, largerView) == other }
        val owner = AdmissionHarness(reducer, AdmissionState(AdmissionFixture.view(self, setOf(self)), fleet))
        owner.receive(PermitRequest(AdmissionFixture.attempt(1), lost, AdmissionFixture.demand()))
        val messages = owner.reduce(AdmissionEvent.RoutersChanged(largerView))
        assertTrue(messages.any { it is PermitsHandedOver && it.target == lost && it.permits.size == 1 })
        val forwarded = owner.receive(PermitReleased(AdmissionFixture.attempt(1), lost)).single()
        assertEquals<AdmissionMessage>(PermitReleased(AdmissionFixture.attempt(1), lost, forwarded = true), forwarded)
        assertEquals(emptyList(), owner.receive(forwarded))
    }

    @Test
    fun `Given a permit that is not renewed, when its lease expires, then its slot goes to the next request`() {
        val owner = owner(targets = 1, capacity = 1)
        owner.ask(1)
        assertTrue(owner.ask(2, AdmissionFixture.demand(timeAllowed = 60.seconds)) is PermitQueued)
        val messages = owner.advance(102)
        assertTrue(messages.any { it is PermitGranted && it.attempt == AdmissionFixture.attempt(2) })
        assertEquals(1, owner.state.inFlight(first))
    }

    @Test
    fun `Given a request that cannot meet its deadline, when all slots are taken, then it is refused at once`() {
        val owner = owner(targets = 1, capacity = 1)
        (1..4).forEach { owner.ask(it, AdmissionFixture.demand(timeAllowed = 90.seconds)) }
        val response = owner.ask(5, AdmissionFixture.demand(timeAllowed = 100.milliseconds))
        assertEquals<AdmissionMessage>(PermitRefused(AdmissionFixture.attempt(5), first, PermitRefusal.LATE), response)
    }
}
