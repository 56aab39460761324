package org.cicadaarch.ledger

import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * A simulation in virtual time of several routers that run the ledger's reducers over an unreliable network and store.
 * [bug] is injected to check the oracle.
 */
internal class LedgerTestFleet(seed: Long, private val bug: InjectedBug? = null) {
    private class Node(val id: RouterId, var ledger: LedgerState, var claimant: ClaimantState, val clockSkew: Long) {
        var pausedUntil = 0L
        var isKilled = false
        var latestView = ledger.view
    }

    private data class Submission(val key: Int, val node: Node, val responseDueAt: Long)

    private val random = Random(seed)
    private val time = VirtualTime()
    val store = FakeStore(time, random, bug)
    private val oracle = LedgerOracle(SETTINGS.idempotencyWindow.inWholeMilliseconds)
    private val ledgerReducer = LedgerReducer(SETTINGS)
    private val claimantReducer = ClaimantReducer(
        ClaimantSettings(
            shards = SETTINGS.shards,
            requestRetryInterval = 300.milliseconds,
            reportRetryInterval = 600.milliseconds,
        ),
    )
    private val nodes = mutableListOf<Node>()
    private val submissions = mutableMapOf<RequestId, Submission>()
    private val resolved = mutableSetOf<RequestId>()
    private val granted = mutableSetOf<RequestId>()
    private val running = linkedSetOf<RequestId>()
    private val keysOfKilledNodes = mutableSetOf<Int>()
    private val partitions = mutableMapOf<Set<RouterId>, Long>()
    private var nodesStarted = 0
    private var lossPercent = 0

    init {
        repeat(ROUTERS) { startNode() }
        updateAllViews()
    }

    fun submit(key: Int, node: Int, timeAllowed: Long): RequestId {
        val ingress = nodes[node]
        val request = RequestId("r${submissions.size}")
        submissions[request] = Submission(key, ingress, responseDueAt = time.now + timeAllowed + 1_000)
        val event = ClaimantEvent.ClaimRequested(request, ACCOUNT, IdempotencyKey("k$key"), timeAllowed.milliseconds)
        whenRunning(ingress) { onClaimant(ingress, event) }
        return request
    }

    fun endRun(number: Int, outcome: Outcome) {
        if (running.isEmpty()) return
        val request = running.elementAt(number % running.size)
        running -= request
        val node = submissions.getValue(request).node
        whenRunning(node) { onClaimant(node, ClaimantEvent.RequestEnded(request, outcome)) }
    }

    fun advance(milliseconds: Long) = time.advance(milliseconds)

    fun kill(node: Int) {
        val killed = nodes[node]
        killed.isKilled = true
        submissions.values.filter { it.node === killed }.forEach { keysOfKilledNodes += it.key }
        running.removeAll { submissions.getValue(it).node === killed }
        nodes.removeAt(node)
        startNode()
        time.after(random.nextLong(1, 3_000)) { updateAllViews() }
    }

    fun pause(node: Int, milliseconds: Long) {
        nodes[node].pausedUntil = time.now + milliseconds
    }

    fun partition(one: Int, other: Int, milliseconds: Long) {
        partitions[setOf(nodes[one].id, nodes[other].id)] = time.now + milliseconds
    }

    fun loseMessages(percent: Int) {
        lossPercent = percent
    }

    fun limitView(node: Int, visible: Set<Int>) {
        val members = nodes.filterIndexed { index, _ -> index in visible || index == node }
        setView(nodes[node], members)
    }

    fun heal() {
        store.mode = FakeStore.Mode.HEALTHY
        partitions.clear()
        lossPercent = 0
        nodes.forEach { it.pausedUntil = 0 }
        updateAllViews()
    }

    /**
     * Checks that, once all faults have ended, every request got a response, all ends are recorded, and keys with which
     * no request ran can still be used.
     */
    fun checkRecovery() {
        heal()
        repeat(2) {
            advance(8_000)
            while (running.isNotEmpty()) endRun(0, Outcome.COMPLETED)
        }
        advance(2_000)
        val unresolved = submissions.filter { (request, it) -> !it.node.isKilled && request !in resolved }
        assertTrue(unresolved.isEmpty(), "requests without a response: ${unresolved.keys}")
        nodes.forEach { assertTrue(it.claimant.claims.isEmpty(), "unrecorded ends: ${it.claimant.claims}") }
        val usable = (0 until KEYS).filter { !oracle.hasRun(it) && it !in keysOfKilledNodes }
        val resends = usable.associateWith { submit(it, node = it % ROUTERS, timeAllowed = 3_000) }
        advance(3_000)
        resends.forEach { (key, request) -> assertTrue(request in granted, "key $key cannot be used by $request") }
        val maximumKeys = SETTINGS.shards * (SETTINGS.segmentSlots + 1)
        assertTrue(store.keys.size <= maximumKeys, "more than $maximumKeys store keys: ${store.keys}")
    }

    private fun startNode() {
        val id = RouterId("n${nodesStarted++}")
        val view = RouterView(id, mapOf(id to info(id)))
        val skew = random.nextLong(-2, 3)
        val ledger = LedgerState(view, epochSeconds = epochSeconds(skew), tickedAt = Timestamp(time.now))
        val node = Node(id, ledger, ClaimantState(view), skew)
        nodes += node
        time.after(random.nextLong(1, TICK)) { tick(node) }
    }

    private fun updateAllViews() = nodes.toList().forEach { setView(it, nodes) }

    private fun setView(node: Node, members: List<Node>) {
        node.latestView = RouterView(node.id, members.associate { it.id to info(it.id) })
        whenRunning(node) {
            onLedger(node, LedgerEvent.RoutersChanged(node.latestView))
            onClaimant(node, ClaimantEvent.RoutersChanged(node.latestView))
        }
    }

    private fun tick(node: Node) {
        whenRunning(node) {
            onLedger(node, LedgerEvent.Tick(epochSeconds(node.clockSkew)))
            onClaimant(node, ClaimantEvent.Tick)
            time.after(TICK) { tick(node) }
        }
    }

    private fun whenRunning(node: Node, action: () -> Unit) {
        when {
            node.isKilled -> Unit
            node.pausedUntil > time.now -> time.after(node.pausedUntil - time.now) { whenRunning(node, action) }
            else -> action()
        }
    }

    private fun onLedger(node: Node, event: LedgerEvent) {
        val step = ledgerReducer.reduce(node.ledger, event, Timestamp(time.now))
        node.ledger = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is LedgerEffect.Send -> send(node, effect.to) {
                    onClaimant(it, ClaimantEvent.Received(node.id, effect.message))
                }

                is LedgerEffect.Store -> store.execute(effect.command) { result ->
                    whenRunning(node) { onLedger(node, LedgerEvent.StoreCallCompleted(effect.token, result)) }
                }

                is LedgerEffect.Log -> Unit
            }
        }
    }

    private fun onClaimant(node: Node, event: ClaimantEvent) {
        val step = claimantReducer.reduce(node.claimant, event, Timestamp(time.now))
        node.claimant = withoutEndedClaims(step)
        runInjectedLateGrant(event)
        step.effects.forEach { effect ->
            when (effect) {
                is ClaimantEffect.Send -> send(node, effect.to) {
                    onLedger(it, LedgerEvent.Received(node.id, effect.message))
                }

                is ClaimantEffect.Granted -> onGranted(effect.request)

                is ClaimantEffect.KeyAlreadyUsed -> resolved += effect.request

                is ClaimantEffect.Refused -> {
                    resolved += effect.request
                    oracle.reportedNotRun(effect.request)
                }
            }
        }
    }

    private fun onGranted(request: RequestId) {
        granted += request
        resolved += request
        val submission = submissions.getValue(request)
        if (random.nextInt(10) == 0) {
            oracle.reportedNotRun(request)
            onClaimant(submission.node, ClaimantEvent.RequestEnded(request, Outcome.NOT_RUN))
        } else {
            running += request
            oracle.started(submission.key, request, time.now)
        }
    }

    private fun withoutEndedClaims(step: Step<ClaimantState, ClaimantEffect>): ClaimantState {
        if (bug != InjectedBug.ENDED_CLAIMS_DROPPED) return step.state
        val ended = step.state.claims.filterValues { it.phase is ClaimPhase.Ended }.keys
        return step.state.copy(claims = ended.fold(step.state.claims) { claims, request -> claims.remove(request) })
    }

    private fun runInjectedLateGrant(event: ClaimantEvent) {
        val message = (event as? ClaimantEvent.Received)?.message as? LedgerMessage.ClaimGranted ?: return
        val request = message.claim.nonce.request
        if (bug == InjectedBug.LATE_GRANT_RUNS && request in resolved && request !in running) {
            oracle.started(submissions.getValue(request).key, request, time.now)
        }
    }

    private fun send(from: Node, to: RouterId, action: (Node) -> Unit) {
        val copies = if (from.id != to && random.nextInt(100) < 3) 2 else 1
        repeat(copies) {
            val isLost = from.id != to && random.nextInt(100) < lossPercent
            val isPartitioned = (partitions[setOf(from.id, to)] ?: 0) > time.now
            if (isLost || isPartitioned) return@repeat
            val delay = if (random.nextInt(100) < 2) random.nextLong(1, 2_000) else random.nextLong(1, 5)
            time.after(delay) { nodes.firstOrNull { it.id == to }?.let { whenRunning(it) { action(it) } } }
        }
    }

    private fun epochSeconds(skew: Long): Long = EPOCH + time.now / 1_000 + skew

    private fun info(id: RouterId): RouterInfo =
        RouterInfo(id, RouterAddress("10.0.0.1", 7000), ZoneName("zone"), RegionName("region"))

    companion object {
        const val ROUTERS = 4
        const val KEYS = 5
        private const val TICK = 100L
        private const val EPOCH = 1_790_000_000L
        private val ACCOUNT = AccountId("orchard")
        val SETTINGS = LedgerSettings(
            shards = 2,
            segmentSlots = 8,
            snapshotInterval = 4,
            idempotencyWindow = 40.seconds,
            clockSkewAllowance = 12.seconds,
            writeInterval = 50.milliseconds,
            reportDelay = 300.milliseconds,
            ingressLease = 2.seconds,
            inquiryInterval = 300.milliseconds,
            idleUnloadDelay = 2.seconds,
            maximumSegmentRecords = 4,
            segmentsPerPage = 3,
        )
    }
}
