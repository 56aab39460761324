package org.cicadaarch.membership

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import org.cicadaarch.membership.MemberStatus.ALIVE
import org.cicadaarch.membership.MemberStatus.DEPARTED
import org.cicadaarch.membership.MemberStatus.REMOVED
import org.cicadaarch.membership.MemberStatus.SUSPECT
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

class UpdateMergerTest {
    private val reporter = router("reporter")
    private val subject = router("subject")

    private enum class KnownState { MEMBER, SUSPECTED, ABSENT }

    @ParameterizedTest(name = "{0} then {1} is {2} at {3}")
    @MethodSource("precedenceCases")
    fun `Given known updates of a router, when one arrives, then a higher incarnation or more severe status wins`(
        known: List<Pair<MemberStatus, Long>>,
        received: Pair<MemberStatus, Long>,
        expectedState: String,
        incarnation: Long?,
    ) {
        val driver = RouterDriver().apply { join(reporter, subject) }
        known.forEach { (status, number) -> driver.gossip(reporter, update(subject, number, status)) }
        driver.gossip(reporter, update(subject, received.second, received.first))
        assertEquals(KnownState.valueOf(expectedState), knownState(driver))
        assertEquals(incarnation, driver.state.table[subject.id]?.incarnation)
    }

    @ParameterizedTest
    @MethodSource("accusationCases")
    fun `Given an accusation of this router, when it arrives, then the incarnation is raised above it`(
        status: MemberStatus,
        accused: Long,
        expected: Long,
    ) {
        val driver = RouterDriver().apply { join(reporter) }
        driver.gossip(reporter, update(driver.self, accused, status))
        assertEquals(expected, driver.state.incarnation)
    }

    @Test
    fun `Given a removed router, when it accuses a member, then the member is not suspected`() {
        val driver = RouterDriver().apply { join(reporter, subject) }
        driver.gossip(subject, update(reporter, 0, SUSPECT), update(reporter, 0, REMOVED))
        assertNull(driver.state.members[reporter.id])
        driver.gossip(reporter, update(subject, 0, SUSPECT))
        assertFalse(subject.id in driver.state.suspected)
    }

    @Test
    fun `Given a reported removal of an unsuspected member, when it responds to the probe, then it stays a member`() {
        val driver = RouterDriver().apply { join(reporter, subject) }
        driver.gossip(reporter, update(subject, 0, REMOVED))
        assertContains(driver.tickAfter(TICK).pings().map { it.to }, subject.address)
        driver.runResponding(REMOVAL_TIME, subject, reporter)
        assertContains(driver.state.members, subject.id)
    }

    private fun knownState(driver: RouterDriver): KnownState = when (subject.id) {
        in driver.state.suspected -> KnownState.SUSPECTED
        in driver.state.members -> KnownState.MEMBER
        else -> KnownState.ABSENT
    }

    companion object {
        @JvmStatic
        fun precedenceCases(): List<Arguments> = listOf(
            case(listOf(), ALIVE to 0L, "MEMBER", 0L),
            case(listOf(), ALIVE to 3L, "MEMBER", 3L),
            case(listOf(), SUSPECT to 0L, "SUSPECTED", 0L),
            case(listOf(), SUSPECT to 2L, "SUSPECTED", 2L),
            case(listOf(ALIVE to 3L), SUSPECT to 2L, "MEMBER", 3L),
            case(listOf(SUSPECT to 1L), ALIVE to 1L, "SUSPECTED", 1L),
            case(listOf(SUSPECT to 1L), ALIVE to 2L, "MEMBER", 2L),
            case(listOf(), REMOVED to 0L, "MEMBER", 0L),
            case(listOf(SUSPECT to 1L), REMOVED to 0L, "SUSPECTED", 1L),
            case(listOf(SUSPECT to 1L), REMOVED to 1L, "ABSENT", null),
            case(listOf(SUSPECT to 1L, REMOVED to 1L), ALIVE to 1L, "ABSENT", null),
            case(listOf(SUSPECT to 1L, REMOVED to 1L), ALIVE to 2L, "MEMBER", 2L),
            case(listOf(), DEPARTED to 0L, "ABSENT", null),
            case(listOf(DEPARTED to 0L), ALIVE to 9L, "ABSENT", null),
        )

        @JvmStatic
        fun accusationCases(): List<Arguments> = listOf(
            Arguments.of(SUSPECT, 0L, 1L),
            Arguments.of(SUSPECT, 4L, 5L),
            Arguments.of(REMOVED, 0L, 1L),
            Arguments.of(ALIVE, 4L, 0L),
            Arguments.of(SUSPECT, -1L, 0L),
        )

        private fun case(
            known: List<Pair<MemberStatus, Long>>,
            received: Pair<MemberStatus, Long>,
            expectedState: String,
            incarnation: Long?,
        ): Arguments = Arguments.of(known, received, expectedState, incarnation)
    }
}
