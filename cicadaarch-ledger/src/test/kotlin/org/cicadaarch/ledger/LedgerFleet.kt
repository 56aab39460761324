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

/** Several routers with the ledger's reducers, a faulty network and a faulty store, in virtual time. */
internal class LedgerFleet(seed: Long, private val fault: SeededFault? = null) {
    private class Node(val id: RouterId, var ledger: LedgerState, var claimant: ClaimantState, val clockSkew: Long) {
        var frozenUntil = 0L
        var dead = false
        var latestView = ledger.view
    }

    private data class Submission(val key: Int, val node: Node, val answerDueAt: Long)

    private val random = Random(seed)
    private val time = VirtualTime()
    val store = FakeStore(time, random, fault)
    private val oracle = LedgerOracle(SETTINGS.window.inWholeMilliseconds)
    private val ledgerReducer = LedgerReducer(SETTINGS)
    private val claimantReducer = ClaimantReducer(
        ClaimantSettings(shards = SETTINGS.shards, askInterval = 300.milliseconds, reportInterval = 600.milliseconds),
    )
    private val nodes = mutableListOf<Node>()
    private val submissions = mutableMapOf<RequestId, Submission>()
    private val answered = mutableSetOf<RequestId>()
    private val granted = mutableSetOf<RequestId>()
    private val running = linkedSetOf<RequestId>()
    private val keysOfDeadNodes = mutableSetOf<Int>()
    private val cuts = mutableMapOf<Set<RouterId>, Long>()
    private var nodesStarted = 0
    private var lossPercent = 0

    init {
        repeat(ROUTERS) { startNode() }
        spreadViews()
    }

    fun submit(key: Int, node: Int, timeAllowed: Long): RequestId {
        val ingress = nodes[node]
        val request = RequestId("r${submissions.size}")
        submissions[request] = Submission(key, ingress, answerDueAt = time.now + timeAllowed + 1_000)
        val event = ClaimantEvent.ClaimRequested(request, ACCOUNT, IdempotencyKey("k$key"), timeAllowed.milliseconds)
        whenAwake(ingress) { onClaimant(ingress, event) }
        return request
    }

    fun endRun(number: Int, outcome: Outcome) {
        if (running.isEmpty()) return
        val request = running.elementAt(number % running.size)
        running -= request
        val node = submissions.getValue(request).node
        whenAwake(node) { onClaimant(node, ClaimantEvent.RequestEnded(request, outcome)) }
    }

    fun advance(milliseconds: Long) = time.advance(milliseconds)

    fun kill(node: Int) {
        val victim = nodes[node]
        victim.dead = true
        submissions.values.filter { it.node === victim }.forEach { keysOfDeadNodes += it.key }
        running.removeAll { submissions.getValue(it).node === victim }
        nodes.removeAt(node)
        startNode()
        time.after(random.nextLong(1, 3_000)) { spreadViews() }
    }

    fun freeze(node: Int, milliseconds: Long) {
        nodes[node].frozenUntil = time.now + milliseconds
    }

    fun cut(one: Int, other: Int, milliseconds: Long) {
        cuts[setOf(nodes[one].id, nodes[other].id)] = time.now + milliseconds
    }

    fun loseMessages(percent: Int) {
        lossPercent = percent
    }

    fun disagree(node: Int, known: Set<Int>) {
        val members = nodes.filterIndexed { index, _ -> index in known || index == node }
        view(nodes[node], members)
    }

    fun heal() {
        store.mode = FakeStore.Mode.HEALTHY
        cuts.clear()
        lossPercent = 0
        nodes.forEach { it.frozenUntil = 0 }
        spreadViews()
    }

    /** After faults end: every request was answered, ends are recorded, and keys that never ran can run. */
    fun checkRecovery() {
        heal()
        repeat(2) {
            advance(8_000)
            while (running.isNotEmpty()) endRun(0, Outcome.COMPLETED)
        }
        advance(2_000)
        val late = submissions.filter { (request, it) -> !it.node.dead && request !in answered }
        assertTrue(late.isEmpty(), "requests without an answer: ${late.keys}")
        nodes.forEach { assertTrue(it.claimant.claims.isEmpty(), "unrecorded ends: ${it.claimant.claims}") }
        val usable = (0 until KEYS).filter { !oracle.hasRun(it) && it !in keysOfDeadNodes }
        val resends = usable.associateWith { submit(it, node = it % ROUTERS, timeAllowed = 3_000) }
        advance(3_000)
        resends.forEach { (key, request) -> assertTrue(request in granted, "key $key cannot be used by $request") }
        assertTrue(store.keys.size <= SETTINGS.shards * (SETTINGS.slots + 1), "too many keys: ${store.keys}")
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

    private fun spreadViews() = nodes.toList().forEach { view(it, nodes) }

    private fun view(node: Node, members: List<Node>) {
        node.latestView = RouterView(node.id, members.associate { it.id to info(it.id) })
        whenAwake(node) {
            onLedger(node, LedgerEvent.RoutersChanged(node.latestView))
            onClaimant(node, ClaimantEvent.RoutersChanged(node.latestView))
        }
    }

    private fun tick(node: Node) {
        whenAwake(node) {
            onLedger(node, LedgerEvent.Tick(epochSeconds(node.clockSkew)))
            onClaimant(node, ClaimantEvent.Tick)
            time.after(TICK) { tick(node) }
        }
    }

    private fun whenAwake(node: Node, action: () -> Unit) {
        when {
            node.dead -> Unit
            node.frozenUntil > time.now -> time.after(node.frozenUntil - time.now) { whenAwake(node, action) }
            else -> action()
        }
    }

    private fun onLedger(node: Node, event: LedgerEvent) {
        val step = ledgerReducer.reduce(node.ledger, event, Timestamp(time.now))
        node.ledger = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is LedgerEffect.Send -> deliver(node, effect.to) {
                    onClaimant(it, ClaimantEvent.Received(node.id, effect.message))
                }

                is LedgerEffect.Store -> store.execute(effect.command) { result ->
                    whenAwake(node) { onLedger(node, LedgerEvent.StoreCallCompleted(effect.token, result)) }
                }

                is LedgerEffect.Log -> Unit
            }
        }
    }

    private fun onClaimant(node: Node, event: ClaimantEvent) {
        val step = claimantReducer.reduce(node.claimant, event, Timestamp(time.now))
        node.claimant = forgetful(step)
        lateGrant(event)
        step.effects.forEach { effect ->
            when (effect) {
                is ClaimantEffect.Send -> deliver(node, effect.to) {
                    onLedger(it, LedgerEvent.Received(node.id, effect.message))
                }

                is ClaimantEffect.Granted -> granted(effect.request)

                is ClaimantEffect.KeyAlreadyUsed -> answered += effect.request

                is ClaimantEffect.Refused -> {
                    answered += effect.request
                    oracle.toldNotRun(effect.request)
                }
            }
        }
    }

    private fun granted(request: RequestId) {
        granted += request
        answered += request
        val submission = submissions.getValue(request)
        if (random.nextInt(10) == 0) {
            oracle.toldNotRun(request)
            onClaimant(submission.node, ClaimantEvent.RequestEnded(request, Outcome.NOT_RUN))
        } else {
            running += request
            oracle.started(submission.key, request, time.now)
        }
    }

    private fun forgetful(step: Step<ClaimantState, ClaimantEffect>): ClaimantState {
        if (fault != SeededFault.FINISH_FORGOTTEN) return step.state
        val ended = step.state.claims.filterValues { it.phase is ClaimPhase.Ended }.keys
        return step.state.copy(claims = ended.fold(step.state.claims) { claims, request -> claims.remove(request) })
    }

    private fun lateGrant(event: ClaimantEvent) {
        val message = (event as? ClaimantEvent.Received)?.message as? LedgerMessage.ClaimGranted ?: return
        val request = message.claim.nonce.request
        if (fault == SeededFault.LATE_GRANT_RUNS && request in answered && request !in running) {
            oracle.started(submissions.getValue(request).key, request, time.now)
        }
    }

    private fun deliver(from: Node, to: RouterId, action: (Node) -> Unit) {
        val copies = if (from.id != to && random.nextInt(100) < 3) 2 else 1
        repeat(copies) {
            val isLost = from.id != to && random.nextInt(100) < lossPercent
            val isCut = (cuts[setOf(from.id, to)] ?: 0) > time.now
            if (isLost || isCut) return@repeat
            val delay = if (random.nextInt(100) < 2) random.nextLong(1, 2_000) else random.nextLong(1, 5)
            time.after(delay) { nodes.firstOrNull { it.id == to }?.let { whenAwake(it) { action(it) } } }
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
            slots = 8,
            snapshotInterval = 4,
            window = 40.seconds,
            clockAllowance = 12.seconds,
            writeInterval = 50.milliseconds,
            reportDelay = 300.milliseconds,
            ingressLease = 2.seconds,
            inquiryInterval = 300.milliseconds,
            idleUnload = 2.seconds,
            maximumSegmentRecords = 4,
            segmentsPerRead = 3,
        )
    }
}
