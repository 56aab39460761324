package org.cicadaarch.membership

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.membership.MembershipEffect.MemberJoined
import org.cicadaarch.membership.MembershipEffect.MemberRemoved
import org.cicadaarch.membership.MembershipEffect.PauseNoticed
import org.cicadaarch.membership.MembershipEffect.RevisionReported
import org.cicadaarch.membership.MembershipMessage.Ack
import org.cicadaarch.membership.MembershipMessage.Gossip
import org.cicadaarch.membership.MembershipMessage.Ping
import org.cicadaarch.model.Revision
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

internal val TICK = 100.milliseconds

/** Above the time from an unanswered probe to the removal in a small fleet. */
internal val SUSPICION = 30.seconds

class MembershipReducerTest {
    private val peer = router("peer")
    private val other = router("other")
    private val successor = router("successor", host = "peer")

    @Test
    fun `Given an unknown sender, when it pings, then it is answered and probed but no member yet`() {
        val driver = RouterDriver()
        val effects = driver.receive(Ping(driver.sender(peer), sequence = 5))
        assertEquals(listOf(5), effects.sends().mapNotNull { (it.message as? Ack)?.sequence })
        assertEquals(listOf(peer.address), effects.pings().map { it.to })
        assertTrue(driver.state.members.isEmpty())
        assertContains(driver.answer(effects.pings().single(), peer), MemberJoined(peer))
    }

    @Test
    fun `Given an answer to no probe, when it comes, then its sender is no member`() {
        val driver = RouterDriver()
        driver.receive(Ack(driver.sender(peer), sequence = 77))
        assertTrue(driver.state.members.isEmpty())
    }

    @Test
    fun `Given a listed address, when nobody answers there, then it is no member`() {
        val driver = RouterDriver()
        driver.reduce(MembershipEvent.ListFetched(listOf(ListedVm(peer.address, peer.zone))))
        assertContains(driver.run(SUSPICION).pings().map { it.to }, peer.address)
        assertTrue(driver.state.members.isEmpty())
    }

    @Test
    fun `Given members, when the list is empty or never read, then they stay as long as they answer`() {
        val driver = RouterDriver().apply { join(peer) }
        driver.reduce(MembershipEvent.ListFetched(emptyList()))
        driver.runAnswering(60.seconds, peer)
        assertEquals(setOf(peer.id), driver.state.eligibleMembers)
    }

    @Test
    fun `Given a member, when the list says it is leaving, then the view says so until the list does not`() {
        val driver = RouterDriver().apply { join(peer) }
        for (leaving in listOf(true, false)) {
            driver.reduce(MembershipEvent.ListFetched(listOf(ListedVm(peer.address, peer.zone, leaving))))
            driver.tickAfter(TICK)
            assertEquals(leaving, driver.state.view.routers.getValue(peer.id).leaving)
        }
    }

    @Test
    fun `Given a member, when a new process answers at its address, then that one replaces it for good`() {
        val driver = RouterDriver().apply { join(peer) }
        val probe = driver.run(600.milliseconds).pings().last()
        val effects = driver.answer(probe, successor)
        assertContains(effects, MemberRemoved(peer, RemovalReason.REPLACED))
        assertContains(effects, MemberJoined(successor))
        driver.gossip(successor, update(peer, 9, MemberStatus.ALIVE))
        assertEquals(setOf(successor.id), driver.state.members.keys)
    }

    @Test
    fun `Given a member, when others tell of a process at its address, then the address is probed first`() {
        val driver = RouterDriver().apply { join(peer, other) }
        val effects = driver.gossip(other, update(successor, 0, MemberStatus.ALIVE))
        assertEquals(listOf(peer.address), effects.pings().map { it.to })
        assertEquals(setOf(peer.id, other.id), driver.state.members.keys)
    }

    @Test
    fun `Given a suspected member, when this process was paused, then it has its whole time to refute`() {
        val driver = RouterDriver().apply { join(peer, other) }
        driver.gossip(other, update(peer, 0, MemberStatus.SUSPECT))
        val effects = driver.tickAfter(60.seconds)
        assertContains(effects, PauseNoticed(60_000))
        assertEquals(setOf(peer.id), driver.state.suspected)
        assertTrue(driver.state.healthScore > 0)
    }

    @Test
    fun `Given the only peer, when it stops answering, then it is suspected and then removed`() {
        val driver = RouterDriver().apply { join(peer) }
        val effects = driver.run(SUSPICION)
        assertContains(effects, MembershipEffect.MemberSuspected(peer.id, incarnation = 0))
        assertContains(effects, MemberRemoved(peer, RemovalReason.UNREACHABLE))
        assertEquals(setOf(driver.self.id), driver.state.view.routers.keys)
    }

    @ParameterizedTest
    @CsvSource("1,10", "2,20", "3,40", "4,80", "9,80")
    fun `Given a router removed some times, when it is back, then it is fit after a time that doubles`(
        removals: Int,
        seconds: Int,
    ) {
        val driver = RouterDriver().apply { join(peer, other) }
        repeat(removals) { round ->
            driver.gossip(other, update(peer, 2L * round, MemberStatus.SUSPECT))
            driver.gossip(other, update(peer, 2L * round, MemberStatus.REMOVED))
            driver.gossip(other, update(peer, 2L * round + 1, MemberStatus.ALIVE))
        }
        assertContains(driver.state.members, peer.id)
        driver.runAnswering(seconds.seconds - TICK, peer, other)
        assertFalse(peer.id in driver.state.eligibleMembers)
        driver.runAnswering(TICK * 2, peer, other)
        assertTrue(peer.id in driver.state.eligibleMembers)
    }

    @Test
    fun `Given a graceful shutdown, when it goes on, then others hear first of the leaving and then of the end`() {
        val driver = RouterDriver().apply { join(peer) }
        driver.reduce(MembershipEvent.LeaveRequested)
        val told = driver.run(1.seconds).pings().first().message.sender
        assertTrue(told.profile.leaving)
        assertNotEquals(0, told.incarnation)
        val departure = driver.reduce(MembershipEvent.LeaveCompleted).sends().single().message as Gossip
        assertEquals(MemberStatus.DEPARTED, departure.updates.first().status)
        assertEquals(emptyList(), driver.run(SUSPICION))
    }

    @ParameterizedTest
    @CsvSource("0,5,true", "5,5,false", "6,5,true")
    fun `Given an installed revision, when a member tells its own twice, then a difference is heard each time`(
        installed: Long,
        told: Long,
        again: Boolean,
    ) {
        val driver = RouterDriver().apply { join(peer) }
        driver.reduce(MembershipEvent.RevisionInstalled(Revision(installed)))
        val heard = RevisionReported(peer.id, Revision(told))
        val message = Gossip(driver.sender(peer, revision = Revision(told)))
        assertContains(driver.receive(message), heard)
        assertEquals(again, heard in driver.receive(message))
    }
}
