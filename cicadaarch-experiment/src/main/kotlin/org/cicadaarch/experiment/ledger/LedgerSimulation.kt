package org.cicadaarch.experiment.ledger

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import org.HdrHistogram.Histogram
import org.cicadaarch.ledger.ClaimantEffect
import org.cicadaarch.ledger.ClaimantEvent
import org.cicadaarch.ledger.ClaimantReducer
import org.cicadaarch.ledger.ClaimantSettings
import org.cicadaarch.ledger.ClaimantState
import org.cicadaarch.ledger.LedgerEffect
import org.cicadaarch.ledger.LedgerEvent
import org.cicadaarch.ledger.LedgerReducer
import org.cicadaarch.ledger.LedgerState
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * [routers] with the ledger's reducers before one store: [claimsPerSecond] new keys for [seconds] under [policy].
 */
internal class LedgerSimulation(
    private val policy: LedgerPolicy,
    routers: Int,
    private val claimsPerSecond: Int,
    private val seconds: Int,
    seed: Long,
) {
    private class Node(val id: RouterId, var ledger: LedgerState, var claimant: ClaimantState)

    private val random = Random(seed)
    private val arrivals = Random(seed)
    private val time = VirtualTime()
    private val ledgerReducer = LedgerReducer(policy.settings)
    private val claimantReducer = ClaimantReducer(ClaimantSettings(shards = policy.settings.shards))
    private val askedAt = mutableMapOf<RequestId, Long>()
    private val nodes: List<Node>
    private val nodesById: Map<RouterId, Node>
    private var requests = 0

    /** The store that the routers share. */
    val store = SimulatedStore(time, random)

    /** Times from a request's arrival to its grant, in microseconds. */
    val waits = Histogram(HISTOGRAM_DIGITS)

    /** Requests that were not granted in the time allowed. */
    var refused = 0
        private set

    /** Messages between two different routers. */
    var messages = 0L
        private set

    init {
        val ids = (1..routers).map { RouterId("router-%06x".format(it)) }
        val members = ids.associateWith { RouterInfo(it, ADDRESS, ZoneName("zone"), RegionName("region")) }
        nodes = ids.map { id ->
            val view = RouterView(id, members)
            Node(id, LedgerState(view, EPOCH_SECONDS, Timestamp(0)), ClaimantState(view))
        }
        nodesById = nodes.associateBy { it.id }
    }

    /** Runs the load and then waits until all is answered and recorded. */
    fun run() {
        nodes.forEach { node -> time.after(random.nextLong(TICK)) { tick(node, number = 0) } }
        arrive()
        time.runUntil((seconds + DRAIN_SECONDS) * MICROSECONDS)
    }

    private fun arrive() {
        if (time.now >= seconds * MICROSECONDS) return
        val node = nodes.random(arrivals)
        val request = RequestId("%016x-%08x".format(arrivals.nextLong(), requests++))
        askedAt[request] = time.now
        onClaimant(node, ClaimantEvent.ClaimRequested(request, ACCOUNT, IdempotencyKey(request.value), TIME_ALLOWED))
        time.after((-ln(1.0 - arrivals.nextDouble()) / claimsPerSecond * MICROSECONDS).toLong()) { arrive() }
    }

    private fun tick(node: Node, number: Int) {
        onLedger(node, LedgerEvent.Tick(EPOCH_SECONDS + time.now / MICROSECONDS))
        if (number % CLAIMANT_TICKS == 0) onClaimant(node, ClaimantEvent.Tick)
        time.after(TICK) { tick(node, number + 1) }
    }

    private fun onLedger(node: Node, event: LedgerEvent) {
        val step = ledgerReducer.reduce(node.ledger, event, timestamp())
        node.ledger = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is LedgerEffect.Send -> deliver(node, effect.to) {
                    onClaimant(it, ClaimantEvent.Received(node.id, effect.message))
                }

                is LedgerEffect.Store -> store.execute(effect.command) { result ->
                    onLedger(node, LedgerEvent.StoreCallCompleted(effect.token, result))
                }

                is LedgerEffect.Log -> Unit
            }
        }
    }

    private fun onClaimant(node: Node, event: ClaimantEvent) {
        val step = claimantReducer.reduce(node.claimant, event, timestamp())
        node.claimant = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is ClaimantEffect.Send -> deliver(node, effect.to) {
                    onLedger(it, LedgerEvent.Received(node.id, effect.message))
                }

                is ClaimantEffect.Granted -> granted(node, effect.request)

                is ClaimantEffect.Refused -> refused += 1

                is ClaimantEffect.KeyAlreadyUsed -> error("${effect.request} has a new key and was denied")
            }
        }
    }

    private fun granted(node: Node, request: RequestId) {
        waits.recordValue(time.now - askedAt.getValue(request))
        time.after(RUN_TIME) { onClaimant(node, ClaimantEvent.RequestEnded(request, Outcome.COMPLETED)) }
    }

    private fun deliver(from: Node, to: RouterId, action: (Node) -> Unit) {
        if (from.id != to) messages += 1
        time.after(if (from.id == to) 0 else NETWORK_DELAY) { action(nodesById.getValue(to)) }
    }

    private fun timestamp(): Timestamp = Timestamp(time.now / MICROSECONDS_PER_MILLISECOND)

    private companion object {
        const val MICROSECONDS = 1_000_000L
        const val MICROSECONDS_PER_MILLISECOND = 1_000L
        const val TICK = 20_000L
        const val CLAIMANT_TICKS = 5
        const val NETWORK_DELAY = 500L
        const val RUN_TIME = 2 * MICROSECONDS
        const val DRAIN_SECONDS = 15
        const val EPOCH_SECONDS = 1_790_000_000L
        const val HISTOGRAM_DIGITS = 3
        val TIME_ALLOWED = 10.seconds
        val ACCOUNT = AccountId("account")
        val ADDRESS = RouterAddress("10.0.0.1", 7000)
    }
}
