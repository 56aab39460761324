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

/** Exceeds the time from a failed probe to the removal of the member in a small fleet. */
internal val REMOVAL_TIME = 30.seconds

class MembershipReducerTest {
    private val peer = router("peer")
    private val other = router("other")
    private val successor = router("successor", host = "peer")

    @Test
    fun `Given an unknown sender, when it pings, then it gets an ack and is probed but is not a member yet`() {
        val driver = RouterDriver()
        val effects = driver.receive(Ping(driver.sender(peer), sequence = 5))
        assertEquals(listOf(5), effects.sends().mapNotNull { (it.message as? Ack)?.sequence })
        assertEquals(listOf(peer.address), effects.pings().map { it.to })
        assertTrue(driver.state.members.isEmpty())
        assertContains(driver.ack(effects.pings().single(), peer), MemberJoined(peer))
    }

    @Test
    fun `Given an ack without a matching probe, when it arrives, then its sender does not become a member`() {
        val driver = RouterDriver()
        driver.receive(Ack(driver.sender(peer), sequence = 77))
        assertTrue(driver.state.members.isEmpty())
    }

    @Test
    fun `Given a listed address, when no router responds there, then it does not become a member`() {
        val driver = RouterDriver()
        driver.reduce(MembershipEvent.ListFetched(listOf(ListedVm(peer.address, peer.zone))))
        assertContains(driver.run(REMOVAL_TIME).pings().map { it.to }, peer.address)
        assertTrue(driver.state.members.isEmpty())
    }

    @Test
    fun `Given a member, when the VM list is empty, then it stays eligible while it responds to probes`() {
        val driver = RouterDriver().apply { join(peer) }
        driver.reduce(MembershipEvent.ListFetched(emptyList()))
        driver.runResponding(60.seconds, peer)
        assertEquals(setOf(peer.id), driver.state.eligibleMembers)
    }

    @Test
    fun `Given a member, when the VM list marks it as leaving, then the view does so until the list no longer does`() {
        val driver = RouterDriver().apply { join(peer) }
        for (leaving in listOf(true, false)) {
            driver.reduce(MembershipEvent.ListFetched(listOf(ListedVm(peer.address, peer.zone, leaving))))
            driver.tickAfter(TICK)
            assertEquals(leaving, driver.state.view.routers.getValue(peer.id).leaving)
        }
    }

    @Test
    fun `Given a member, when a new process responds at its address, then it replaces the member permanently`() {
        val driver = RouterDriver().apply { join(peer) }
        val probe = driver.run(600.milliseconds).pings().last()
        val effects = driver.ack(probe, successor)
        assertContains(effects, MemberRemoved(peer, RemovalReason.REPLACED))
        assertContains(effects, MemberJoined(successor))
        driver.gossip(successor, update(peer, 9, MemberStatus.ALIVE))
        assertEquals(setOf(successor.id), driver.state.members.keys)
    }

    @Test
    fun `Given a member, when an update names another process at its address, then the address is probed first`() {
        val driver = RouterDriver().apply { join(peer, other) }
        val effects = driver.gossip(other, update(successor, 0, MemberStatus.ALIVE))
        assertEquals(listOf(peer.address), effects.pings().map { it.to })
        assertEquals(setOf(peer.id, other.id), driver.state.members.keys)
    }

    @Test
    fun `Given a suspected member, when this process was paused, then the suspicion timeout is extended`() {
        val driver = RouterDriver().apply { join(peer, other) }
        driver.gossip(other, update(peer, 0, MemberStatus.SUSPECT))
        val effects = driver.tickAfter(60.seconds)
        assertContains(effects, PauseNoticed(60_000))
        assertEquals(setOf(peer.id), driver.state.suspected)
        assertTrue(driver.state.healthScore > 0)
    }

    @Test
    fun `Given the only peer, when it stops responding, then it is suspected and then removed`() {
        val driver = RouterDriver().apply { join(peer) }
        val effects = driver.run(REMOVAL_TIME)
        assertContains(effects, MembershipEffect.MemberSuspected(peer.id, incarnation = 0))
        assertContains(effects, MemberRemoved(peer, RemovalReason.UNREACHABLE))
        assertEquals(setOf(driver.self.id), driver.state.view.routers.keys)
    }

    @ParameterizedTest
    @CsvSource("1,10", "2,20", "3,40", "4,80", "9,80")
    fun `Given a router removed several times, when it rejoins, then it is eligible after a probation that doubles`(
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
        driver.runResponding(seconds.seconds - TICK, peer, other)
        assertFalse(peer.id in driver.state.eligibleMembers)
        driver.runResponding(TICK * 2, peer, other)
        assertTrue(peer.id in driver.state.eligibleMembers)
    }

    @Test
    fun `Given a graceful shutdown, when it begins and completes, then leaving and then departure are announced`() {
        val driver = RouterDriver().apply { join(peer) }
        driver.reduce(MembershipEvent.LeaveRequested)
        val sender = driver.run(1.seconds).pings().first().message.sender
        assertTrue(sender.profile.leaving)
        assertNotEquals(0, sender.incarnation)
        val departure = driver.reduce(MembershipEvent.LeaveCompleted).sends().single().message as Gossip
        assertEquals(MemberStatus.DEPARTED, departure.updates.first().status)
        assertEquals(emptyList(), driver.run(REMOVAL_TIME))
    }

    @ParameterizedTest
    @CsvSource("0,5,true", "5,5,false", "6,5,true")
    fun `Given an installed revision, when a member reports its own twice, then a difference is reported each time`(
        installed: Long,
        reported: Long,
        isRepeated: Boolean,
    ) {
        val driver = RouterDriver().apply { join(peer) }
        driver.reduce(MembershipEvent.RevisionInstalled(Revision(installed)))
        val report = RevisionReported(peer.id, Revision(reported))
        val message = Gossip(driver.sender(peer, revision = Revision(reported)))
        assertContains(driver.receive(message), report)
        assertEquals(isRepeated, report in driver.receive(message))
    }
}
