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
    private val teller = router("teller")
    private val subject = router("subject")

    private enum class Standing { MEMBER, SUSPECTED, GONE }

    @ParameterizedTest(name = "{0} then {1} is {2} at {3}")
    @MethodSource("precedences")
    fun `Given what is known of a router, when an update comes, then the later and worse one holds`(
        known: List<Pair<MemberStatus, Long>>,
        news: Pair<MemberStatus, Long>,
        standing: String,
        incarnation: Long?,
    ) {
        val driver = RouterDriver().apply { join(teller, subject) }
        known.forEach { (status, number) -> driver.gossip(teller, update(subject, number, status)) }
        driver.gossip(teller, update(subject, news.second, news.first))
        assertEquals(Standing.valueOf(standing), standingOf(driver))
        assertEquals(incarnation, driver.state.table[subject.id]?.incarnation)
    }

    @ParameterizedTest
    @MethodSource("accusations")
    fun `Given an accusation of this router, when it is news, then the incarnation goes above it`(
        status: MemberStatus,
        accused: Long,
        expected: Long,
    ) {
        val driver = RouterDriver().apply { join(teller) }
        driver.gossip(teller, update(driver.self, accused, status))
        assertEquals(expected, driver.state.incarnation)
    }

    @Test
    fun `Given a removed router, when it accuses a member, then nobody is suspected`() {
        val driver = RouterDriver().apply { join(teller, subject) }
        driver.gossip(subject, update(teller, 0, SUSPECT), update(teller, 0, REMOVED))
        assertNull(driver.state.members[teller.id])
        driver.gossip(teller, update(subject, 0, SUSPECT))
        assertFalse(subject.id in driver.state.suspected)
    }

    @Test
    fun `Given a removal told of an unsuspected member, when it answers the probe, then it stays`() {
        val driver = RouterDriver().apply { join(teller, subject) }
        driver.gossip(teller, update(subject, 0, REMOVED))
        assertContains(driver.tickAfter(TICK).pings().map { it.to }, subject.address)
        driver.runAnswering(SUSPICION, subject, teller)
        assertContains(driver.state.members, subject.id)
    }

    private fun standingOf(driver: RouterDriver): Standing = when (subject.id) {
        in driver.state.suspected -> Standing.SUSPECTED
        in driver.state.members -> Standing.MEMBER
        else -> Standing.GONE
    }

    companion object {
        @JvmStatic
        fun precedences(): List<Arguments> = listOf(
            case(listOf(), ALIVE to 0L, "MEMBER", 0L),
            case(listOf(), ALIVE to 3L, "MEMBER", 3L),
            case(listOf(), SUSPECT to 0L, "SUSPECTED", 0L),
            case(listOf(), SUSPECT to 2L, "SUSPECTED", 2L),
            case(listOf(ALIVE to 3L), SUSPECT to 2L, "MEMBER", 3L),
            case(listOf(SUSPECT to 1L), ALIVE to 1L, "SUSPECTED", 1L),
            case(listOf(SUSPECT to 1L), ALIVE to 2L, "MEMBER", 2L),
            case(listOf(), REMOVED to 0L, "MEMBER", 0L),
            case(listOf(SUSPECT to 1L), REMOVED to 0L, "SUSPECTED", 1L),
            case(listOf(SUSPECT to 1L), REMOVED to 1L, "GONE", null),
            case(listOf(SUSPECT to 1L, REMOVED to 1L), ALIVE to 1L, "GONE", null),
            case(listOf(SUSPECT to 1L, REMOVED to 1L), ALIVE to 2L, "MEMBER", 2L),
            case(listOf(), DEPARTED to 0L, "GONE", null),
            case(listOf(DEPARTED to 0L), ALIVE to 9L, "GONE", null),
        )

        @JvmStatic
        fun accusations(): List<Arguments> = listOf(
            Arguments.of(SUSPECT, 0L, 1L),
            Arguments.of(SUSPECT, 4L, 5L),
            Arguments.of(REMOVED, 0L, 1L),
            Arguments.of(ALIVE, 4L, 0L),
            Arguments.of(SUSPECT, -1L, 0L),
        )

        private fun case(
            known: List<Pair<MemberStatus, Long>>,
            news: Pair<MemberStatus, Long>,
            standing: String,
            incarnation: Long?,
        ): Arguments = Arguments.of(known, news, standing, incarnation)
    }
}
