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

    private fun checkRequest(state: QuotaState, now: Timestamp): Pair<QuotaState, QuotaDecision> {
        val decision = reducer.check(state, account, tokens = 10, now)
        val event = QuotaEvent.RequestChecked(account, tokens = 10, admitted = decision is QuotaDecision.Allowed)
        return reducer.reduce(state, event, now).state to decision
    }

    @Test
    fun `Given share requests in any order, when shares are allocated, then their sum never exceeds the limit`() {
        val routers = (1..7).map { RouterId("router-$it") }
        val demands = listOf(0.0, 3.0, 250.0, 40.0, 1.0, 90.0, 7.0, 0.5, 400.0)
        var allocation = ShareAllocation()
        (0 until 300).forEach { step ->
            val demand = QuotaAmounts(1.0, 10.0, 1.0) * demands[step * 5 % demands.size]
            allocation = allocation.allocate(routers[step * 3 % routers.size], demand, limit, Timestamp(3_000))
            val sum = routers.fold(QuotaAmounts.ZERO) { total, router -> total + allocation.shareOf(router) }
            assertTrue(sum.requests <= limit.requests * 1.000001, "shares add up to $sum at step $step")
            assertTrue(sum.tokens <= limit.tokens * 1.000001, "shares add up to $sum at step $step")
            assertTrue(sum.concurrent <= limit.concurrent * 1.000001, "shares add up to $sum at step $step")
        }
    }

    @Test
    fun `Given an account without limits, when a request arrives, then it may start and no state is kept`() {
        val (state, decision) = checkRequest(state(AccountLimits()), Timestamp(0))
        assertEquals(QuotaDecision.Allowed, decision)
        assertTrue(state.local.isEmpty())
    }

    @Test
    fun `Given no share yet, when a burst arrives, then a router admits its equal part of the limit`() {
        val (_, allowed) = (1..50).fold(state(AccountLimits(requestsPerSecond = 40.0, requestBurst = 40)) to 0) {
                result,
                _,
            ->
            val (next, decision) = checkRequest(result.first, Timestamp(0))
            next to result.second + if (decision is QuotaDecision.Allowed) 1 else 0
        }
        assertEquals(10, allowed)
    }

    @Test
    fun `Given a share, when the owner does not renew it, then the router falls back to its equal part of the limit`() {
        val (initial, _) = checkRequest(state(AccountLimits(requestsPerSecond = 40.0, requestBurst = 40)), Timestamp(0))
        val message = QuotaMessage.ShareGranted(account, QuotaAmounts(requests = 36.0), lease = 3.seconds)
        val granted = reducer.reduce(initial, QuotaEvent.Received(RouterId("router-2"), message), Timestamp(0)).state
        assertEquals(36.0, granted.local.getValue(account).share.requests)
        val later = reducer.reduce(granted, QuotaEvent.Tick, Timestamp(0) + 3.seconds).state
        assertEquals(10.0, later.local.getValue(account).share.requests)
    }

    @Test
    fun `Given a limit of concurrent requests, when one ends, then the next may start`() {
        var state = state(AccountLimits(concurrentRequests = 4), routers = 2)
        repeat(2) { state = checkRequest(state, Timestamp(0)).first }
        val refused = assertIs<QuotaDecision.Limited>(reducer.check(state, account, tokens = 10, Timestamp(0)))
        assertEquals(QuotaDecision.Limit.CONCURRENT, refused.limit)
        state = reducer.reduce(state, QuotaEvent.RequestEnded(account), Timestamp(0)).state
        assertEquals(QuotaDecision.Allowed, reducer.check(state, account, tokens = 10, Timestamp(0)))
    }

    @Test
    fun `Given an account that becomes idle, when time passes, then it needs neither state nor messages`() {
        var (state, _) = checkRequest(state(AccountLimits(requestsPerSecond = 40.0)), Timestamp(0))
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
