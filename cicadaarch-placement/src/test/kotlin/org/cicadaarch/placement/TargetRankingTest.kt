package org.cicadaarch.placement

import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

class TargetRankingTest {
    private val north = RegionName("north")
    private val south = RegionName("south")
    private val candidates = List(12) { number ->
        Candidate(
            id = TargetId("engine-$number"),
            weight = if (number < 4) 2.0 else 1.0,
            region = if (number % 2 == 0) north else south,
            zone = ZoneName("zone-${number % 4}"),
        )
    }

    private fun order(chat: Int, candidates: List<Candidate>, region: RegionName? = null) =
        TargetRanking.forChat(AccountId("account"), ChatId("chat-$chat"), candidates, region)

    @Test
    fun `Given a new target, when it becomes the home of a chat, then the previous home is second in the order`() {
        val withNewTarget = candidates + Candidate(TargetId("joiner"), weight = 2.0)
        val moved = (1..2_000).filter { order(it, withNewTarget).first() == TargetId("joiner") }
        assertTrue(moved.isNotEmpty())
        moved.forEach { assertEquals(order(it, candidates).first(), order(it, withNewTarget)[1]) }
    }

    @Test
    fun `Given two regions, when a chat is ranked, then all targets of its own region come first`() {
        (1..200).forEach { chat ->
            val order = order(chat, candidates, south)
            val regions = order.map { id -> candidates.first { it.id == id }.region }
            assertEquals(List(6) { south } + List(6) { north }, regions)
        }
    }

    @Test
    fun `Given weights, when many chats are ranked, then each target is the home of a proportional share`() {
        val homes = (1..16_000).groupingBy { order(it, candidates).first() }.eachCount()
        candidates.forEach { candidate ->
            val expected = 16_000 * candidate.weight / 16.0
            val found = homes.getValue(candidate.id)
            assertTrue(
                abs(found - expected) < 0.12 * expected,
                "${candidate.id} is the home of $found chats, expected $expected",
            )
        }
    }

    @Test
    fun `Given a request without a chat, when it is ranked, then the zone reorders only the first two`() {
        (1..200).forEach { number ->
            val request = RequestId("request-$number")
            val plain = TargetRanking.forRequest(request, candidates, region = null, zone = null)
            val zoned = TargetRanking.forRequest(request, candidates, region = null, zone = ZoneName("zone-1"))
            assertEquals(plain.take(2).toSet(), zoned.take(2).toSet())
            assertEquals(plain.drop(2), zoned.drop(2))
        }
    }

    @Test
    fun `Given repeated failures, when a target is up again, then it regains its weight after a growing period`() {
        data class Case(val history: TargetHistory, val hasFullWeight: Boolean)
        listOf(
            Case(TargetHistory(1.seconds, failures = 0), hasFullWeight = true),
            Case(TargetHistory(1.seconds, failures = 1), hasFullWeight = true),
            Case(TargetHistory(29.seconds, failures = 2), hasFullWeight = false),
            Case(TargetHistory(30.seconds, failures = 2), hasFullWeight = true),
            Case(TargetHistory(59.seconds, failures = 3), hasFullWeight = false),
            Case(TargetHistory(5.minutes, failures = 40), hasFullWeight = true),
        ).forEach { (history, hasFullWeight) -> assertEquals(hasFullWeight, history.weightFactor == 1.0, "$history") }
    }
}
