package org.cicadaarch.ledger

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand

class LedgerReducerTest {
    private data class Case(
        val name: String,
        val settings: LedgerSettings,
        val stored: Map<String, String>,
        val claims: List<Claim>,
        val expected: List<LedgerMessage.ForIngress>,
    )

    private val first = claim("key-1", "first")
    private val second = claim("key-2", "second")
    private val resend = claim("key-1", "resend")
    private val fullShard = LedgerSettings(shards = 1, maximumSnapshotBytes = 1)

    private val cases = listOf(
        Case(
            name = "free keys",
            settings = LedgerSettings(shards = 1),
            stored = emptyMap(),
            claims = listOf(first, second),
            expected = listOf(LedgerMessage.ClaimGranted(first), LedgerMessage.ClaimGranted(second)),
        ),
        Case(
            name = "a full shard",
            settings = fullShard,
            stored = mapOf(LedgerStoreKeys.snapshotKey(0) to snapshotOf(first)),
            claims = listOf(second),
            expected = listOf(LedgerMessage.ClaimRefused(second, ClaimRefusal.SHARD_FULL)),
        ),
        Case(
            name = "too many pending claims",
            settings = LedgerSettings(shards = 1, maximumPendingClaims = 1),
            stored = emptyMap(),
            claims = listOf(first, second),
            expected = listOf(
                LedgerMessage.ClaimRefused(second, ClaimRefusal.OVERLOADED),
                LedgerMessage.ClaimGranted(first),
            ),
        ),
        Case(
            name = "a key held by a request whose ingress does not reply",
            settings = LedgerSettings(shards = 1, inquiryInterval = 4.seconds),
            stored = mapOf(LedgerStoreKeys.snapshotKey(0) to snapshotOf(first)),
            claims = listOf(resend),
            expected = listOf(
                LedgerMessage.KeyHeld(resend),
                LedgerMessage.ClaimInquiry(first),
                LedgerMessage.ClaimInquiry(first),
                LedgerMessage.KeyUsed(resend, PriorRequestStatus.MAY_HAVE_RUN),
            ),
        ),
        Case(
            name = "a malformed snapshot",
            settings = LedgerSettings(shards = 1),
            stored = mapOf(LedgerStoreKeys.snapshotKey(0) to "{}"),
            claims = listOf(first),
            expected = emptyList(),
        ),
    )

    @Test
    fun `Given a stored shard, when claims are requested, then the responses follow from its state`() {
        cases.forEach { case -> assertEquals(case.expected, responsesTo(case), case.name) }
    }

    @Test
    fun `Given a store that is down, when a claim is requested, then store calls are retried with increasing delays`() {
        val owner = Owner(LedgerSettings(shards = 1))
        owner.store.mode = FakeStore.Mode.DOWN
        owner.request(first)
        owner.run(milliseconds = 9_000)
        assertEquals(emptyList(), owner.responses)
        assertTrue(owner.storeCalls <= 12, "${owner.storeCalls} store calls in 9 s")
    }

    private fun responsesTo(case: Case): List<LedgerMessage.ForIngress> {
        val owner = Owner(case.settings)
        case.stored.forEach { (key, value) ->
            owner.store.execute(StoreCommand.CompareAndSet(key, ExpectedState.Absent, value)) {}
        }
        owner.run(milliseconds = 20)
        case.claims.forEach(owner::request)
        owner.run(milliseconds = 9_000)
        return owner.responses
    }

    private class Owner(settings: LedgerSettings) {
        private val time = VirtualTime()
        private val reducer = LedgerReducer(settings)
        private var state = LedgerState(VIEW, EPOCH_SECONDS, tickedAt = Timestamp(0))
        val store = FakeStore(time, Random(1), bug = null)
        val responses = mutableListOf<LedgerMessage.ForIngress>()
        var storeCalls = 0
            private set

        fun request(claim: Claim) = handle(
            LedgerEvent.Received(claim.nonce.ingress, LedgerMessage.ClaimRequest(claim, timeAllowed = 8.seconds)),
        )

        fun run(milliseconds: Int) = repeat(milliseconds / TICK) {
            time.advance(TICK.toLong())
            handle(LedgerEvent.Tick(EPOCH_SECONDS + time.now / 1_000))
        }

        private fun handle(event: LedgerEvent) {
            val step = reducer.reduce(state, event, Timestamp(time.now))
            state = step.state
            step.effects.forEach { effect ->
                when (effect) {
                    is LedgerEffect.Send -> responses += effect.message

                    is LedgerEffect.Store -> {
                        storeCalls += 1
                        store.execute(effect.command) { handle(LedgerEvent.StoreCallCompleted(effect.token, it)) }
                    }

                    is LedgerEffect.Log -> Unit
                }
            }
        }
    }

    private companion object {
        const val EPOCH_SECONDS = 1_790_000_000L
        const val TICK = 20
        val ROUTER = RouterId("router-1")
        val VIEW = RouterView(
            self = ROUTER,
            routers = mapOf(
                ROUTER to RouterInfo(ROUTER, RouterAddress("10.0.0.1", 7000), ZoneName("zone"), RegionName("region")),
            ),
        )

        fun claim(key: String, request: String): Claim =
            Claim(ClaimKey.of(AccountId("orchard"), IdempotencyKey(key)), ClaimNonce(RequestId(request), ROUTER))

        fun snapshotOf(claim: Claim): String = LedgerCodec.encode(
            Snapshot(lastSequence = 0, entries = mapOf(claim.key to LedgerEntry.Open(claim.nonce, EPOCH_SECONDS))),
        )
    }
}
