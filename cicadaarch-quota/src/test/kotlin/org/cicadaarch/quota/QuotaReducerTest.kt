package org.cicadaarch.quota

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset

class QuotaReducerTest {
    private val reducer = QuotaReducer()
    private val account = AccountId("account")
    private val limit = QuotaAmounts(requests = 100.0, tokens = 1_000.0, concurrent = 20.0)

    private fun state(limits: AccountLimits, routers: Int = 4): QuotaState {
        val infos = (1..routers).map {
            RouterInfo(RouterId("router-$it"), RouterAddress("192.0.2.1", it), ZoneName("zone"), RegionName("region"))
        }
        val preset = PresetName("ordinary")
        val fleet = FleetDocument(
            regions = emptyMap(),
            accounts = mapOf(account to Account(emptyList(), limits = limits)),
            services = emptyMap(),
            targets = emptyMap(),
            presets = mapOf(preset to Preset()),
            activePreset = preset,
        )
        return QuotaState(RouterView(infos.first().id, infos.associateBy { it.id }), fleet)
    }

    private fun offer(state: QuotaState, now: Timestamp): Pair<QuotaState, QuotaDecision> {
        val verdict = reducer.check(state, account, tokens = 10, now)
        val event = QuotaEvent.RequestChecked(account, tokens = 10, admitted = verdict is QuotaDecision.Allowed)
        return reducer.reduce(state, event, now).state to verdict
    }

    @Test
    fun `Given any order of requests for shares, when they are lent, then they never add up to more than the limit`() {
        val routers = (1..7).map { RouterId("router-$it") }
        val wanted = listOf(0.0, 3.0, 250.0, 40.0, 1.0, 90.0, 7.0, 0.5, 400.0)
        var owned = ShareAllocation()
        (0 until 300).forEach { step ->
            val demand = QuotaAmounts(1.0, 10.0, 1.0) * wanted[step * 5 % wanted.size]
            owned = owned.allocate(routers[step * 3 % routers.size], demand, limit, Timestamp(3_000))
            val sum = routers.fold(QuotaAmounts.ZERO) { left, router -> left + owned.shareOf(router) }
            assertTrue(sum.requests <= limit.requests * 1.000001, "step $step lends $sum")
            assertTrue(sum.tokens <= limit.tokens * 1.000001, "step $step lends $sum")
            assertTrue(sum.concurrent <= limit.concurrent * 1.000001, "step $step lends $sum")
        }
    }

    @Test
    fun `Given no limits, when requests come, then all start and nothing is kept or sent`() {
        val (state, verdict) = offer(state(AccountLimits()), Timestamp(0))
        assertEquals(QuotaDecision.Allowed, verdict)
        assertTrue(state.local.isEmpty())
    }

    @Test
    fun `Given no share yet, when a burst comes, then a router lets in its part of the limit`() {
        val (_, allowed) = (1..50).fold(state(AccountLimits(requestsPerSecond = 40.0, requestBurst = 40)) to 0) {
                left,
                _,
            ->
            val (next, verdict) = offer(left.first, Timestamp(0))
            next to left.second + if (verdict is QuotaDecision.Allowed) 1 else 0
        }
        assertEquals(10, allowed)
    }

    @Test
    fun `Given a borrowed share, when its owner is lost, then the router falls back to its part of the limit`() {
        val (busy, _) = offer(state(AccountLimits(requestsPerSecond = 40.0, requestBurst = 40)), Timestamp(0))
        val message = QuotaMessage.ShareGranted(account, QuotaAmounts(requests = 36.0), lease = 3.seconds)
        val lent = reducer.reduce(busy, QuotaEvent.Received(RouterId("router-2"), message), Timestamp(0)).state
        assertEquals(36.0, lent.local.getValue(account).share.requests)
        val later = reducer.reduce(lent, QuotaEvent.Tick, Timestamp(0) + 3.seconds).state
        assertEquals(10.0, later.local.getValue(account).share.requests)
    }

    @Test
    fun `Given a limit of concurrent requests, when one ends, then the next may start`() {
        var state = state(AccountLimits(concurrentRequests = 4), routers = 2)
        repeat(2) { state = offer(state, Timestamp(0)).first }
        val refused = assertIs<QuotaDecision.Limited>(reducer.check(state, account, tokens = 10, Timestamp(0)))
        assertEquals(QuotaDecision.Limit.CONCURRENT, refused.limit)
        state = reducer.reduce(state, QuotaEvent.RequestEnded(account), Timestamp(0)).state
        assertEquals(QuotaDecision.Allowed, reducer.check(state, account, tokens = 10, Timestamp(0)))
    }

    @Test
    fun `Given an account that falls idle, when time passes, then it costs neither state nor messages`() {
        var (state, _) = offer(state(AccountLimits(requestsPerSecond = 40.0)), Timestamp(0))
        state = reducer.reduce(state, QuotaEvent.RequestEnded(account), Timestamp(0)).state
        var now = Timestamp(0)
        val messages = (1..100).map { number ->
            now += 100.milliseconds
            val step = reducer.reduce(state, QuotaEvent.Tick, now)
            state = step.state
            number to step.effects.size
        }
        assertTrue(messages.any { it.second > 0 })
        assertTrue(messages.filter { it.first > 60 }.all { it.second == 0 })
        assertTrue(state.local.isEmpty())
    }
}
