package org.cicadaarch.orders

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState

/** Several routers with the orders' reducer before engines of both kinds, in virtual time. */
internal class OrdersFleet(seed: Long, private val fault: SeededFault? = null) {
    private class Node(val id: RouterId, var state: OrdersState, val clockOffset: Long) {
        var frozenUntil = 0L
        var dead = false
        var latestView = state.view
    }

    private val random = Random(seed)
    private val time = VirtualTime()
    private val reducer = OrdersReducer(SETTINGS)
    val store = FakeLeaseStore(time, random)
    private val engines = (0 until ENGINES).associate { number ->
        TargetId("engine-$number") to FakeEngine(time, "engine-$number", checksFencing = number % 2 == 0)
    }
    private val nodes = mutableListOf<Node>()
    private var nodesStarted = 0
    private var activePreset = PRESETS.first()
    private var unansweredPercent = 0
    private var nextFreeze: Pair<FreezePoint, Long>? = null

    enum class FreezePoint { BEFORE_SENDING, AFTER_SENDING }

    /** The most engines that were seen loading at once. */
    var mostLoads = 0
        private set

    init {
        repeat(ROUTERS) { startNode() }
        spreadViews()
    }

    fun advance(milliseconds: Long) = time.advance(milliseconds)

    fun switchPreset(number: Int) {
        activePreset = PRESETS[number]
        nodes.forEach { node ->
            time.after(random.nextLong(1, 500)) { whenAwake(node) { on(node, OrdersEvent.FleetChanged(document())) } }
        }
    }

    fun kill(node: Int) {
        nodes[node].dead = true
        nodes.removeAt(node)
        startNode()
        time.after(random.nextLong(1, 2_000)) { spreadViews() }
    }

    fun freeze(node: Int, milliseconds: Long) = freeze(nodes[node], milliseconds)

    /** Freezes the next holder that gives an order: before it is sent, or after while the order is on its way. */
    fun freezeAtNextOrder(point: FreezePoint, milliseconds: Long) {
        nextFreeze = point to milliseconds
    }

    fun disagree(node: Int, known: Set<Int>) =
        view(nodes[node], nodes.filterIndexed { index, _ -> index in known || index == node })

    fun restartEngine(number: Int) = engines.values.elementAt(number).restart()

    fun loseAnswers(percent: Int) {
        unansweredPercent = percent
    }

    fun heal() {
        store.mode = FakeLeaseStore.Mode.HEALTHY
        unansweredPercent = 0
        nextFreeze = null
        nodes.forEach { it.frozenUntil = 0 }
        spreadViews()
    }

    /** After faults end, every engine comes into the state of the active preset. */
    fun checkRecovery() {
        heal()
        advance(RECOVERY_MILLISECONDS)
        engines.forEach { (id, engine) ->
            assertEquals(document().preset.wantedStates[id], engine.serving, "state of $id")
        }
    }

    private fun freeze(node: Node, milliseconds: Long) {
        node.frozenUntil = time.now + milliseconds
        time.after(random.nextLong(300, 1_000)) { nodes.filter { it !== node }.forEach { view(it, nodes - node) } }
        time.after(milliseconds + random.nextLong(300, 1_000)) { spreadViews() }
    }

    private fun startNode() {
        val id = RouterId("n${nodesStarted++}")
        val state = OrdersState(RouterView(id, mapOf(id to info(id))), document())
        val node = Node(id, state, clockOffset = random.nextLong(-100_000, 100_000))
        nodes += node
        time.after(random.nextLong(1, TICK)) { tick(node) }
    }

    private fun spreadViews() = nodes.toList().forEach { view(it, nodes) }

    private fun view(node: Node, members: List<Node>) {
        node.latestView = RouterView(node.id, members.associate { it.id to info(it.id) })
        whenAwake(node) {
            on(node, OrdersEvent.RoutersChanged(node.latestView))
            on(node, OrdersEvent.FleetChanged(document()))
        }
    }

    private fun tick(node: Node) {
        whenAwake(node) {
            on(node, OrdersEvent.Tick)
            mostLoads = maxOf(mostLoads, engines.values.count { it.loading != null })
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

    private fun on(node: Node, event: OrdersEvent) {
        val step = reducer.reduce(node.state, event, clockOf(node))
        node.state = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is OrdersEffect.Store -> store.execute(effect.command) { result ->
                    whenAwake(node) { on(node, OrdersEvent.StoreCallCompleted(effect.token, result)) }
                }

                is OrdersEffect.ReadEngineState -> read(node, effect)

                is OrdersEffect.SendOrder -> {
                    freezeIfDue(node, FreezePoint.BEFORE_SENDING)
                    time.after(random.nextLong(50)) { whenAwake(node) { send(node, effect) } }
                }

                is OrdersEffect.Log -> Unit
            }
        }
    }

    private fun freezeIfDue(node: Node, point: FreezePoint): Boolean {
        val (due, milliseconds) = nextFreeze ?: return false
        if (due != point) return false
        nextFreeze = null
        freeze(node, milliseconds)
        return true
    }

    private fun read(node: Node, effect: OrdersEffect.ReadEngineState) {
        val engine = engines.getValue(effect.target)
        time.after(random.nextLong(1, 50)) {
            val isLost = random.nextInt(100) < unansweredPercent
            val state = EngineState(engine.serving, engine.loading).takeUnless { isLost }
            whenAwake(node) { on(node, OrdersEvent.EngineStateRead(effect.token, effect.target, state)) }
        }
    }

    private fun send(node: Node, effect: OrdersEffect.SendOrder) {
        if (clockOf(node) >= effect.sendBefore && fault != SeededFault.SEND_DEADLINE_IGNORED) {
            on(node, OrdersEvent.OrderCompleted(effect.token, effect.target, OrderResult.FAILED))
            return
        }
        val engine = engines.getValue(effect.target)
        val timeLimit = effect.timeLimit.inWholeMilliseconds
        val isLost = freezeIfDue(node, FreezePoint.AFTER_SENDING) || random.nextInt(100) < unansweredPercent
        val isDropped = isLost && random.nextBoolean()
        // Only an engine that checks the number can face an order that the network delivers after its time limit.
        val longest = if (engine.checksFencing) LATE_ORDER_MILLISECONDS else timeLimit
        time.after(if (isLost) random.nextLong(1, longest) else random.nextLong(1, 20)) {
            val result = if (isDropped) null else engine.order(effect.state, effect.fencingToken, isCheckBroken())
            if (!isLost && result != null) answer(node, effect, result)
        }
        if (isLost) time.after(timeLimit) { answer(node, effect, OrderResult.UNANSWERED) }
    }

    private fun answer(node: Node, effect: OrdersEffect.SendOrder, result: OrderResult) =
        whenAwake(node) { on(node, OrdersEvent.OrderCompleted(effect.token, effect.target, result)) }

    private fun isCheckBroken(): Boolean = fault == SeededFault.FENCING_NOT_CHECKED

    private fun clockOf(node: Node): Timestamp = Timestamp(time.now + node.clockOffset)

    private fun info(id: RouterId): RouterInfo = RouterInfo(id, RouterAddress("10.0.0.1", 7000), ZONE, REGION)

    private fun document(): FleetDocument = FleetDocument(
        regions = mapOf(REGION to listOf(ZONE)),
        accounts = emptyMap(),
        services = mapOf(SERVICE to Service(ServiceKind.MODEL)),
        targets = engines.mapValues { (_, engine) ->
            val checksFencing = engine.checksFencing || fault == SeededFault.QUIET_TIME_SKIPPED
            Target(SERVICE, "10.0.1.1:8000", ZONE, capacity = 4, checksFencing = checksFencing)
        },
        presets = PRESETS.associateWith { preset ->
            Preset(wantedStates = engines.keys.associateWith { WantedState("model", version = preset.value) })
        },
        activePreset = activePreset,
    )

    companion object {
        const val ROUTERS = 3
        const val ENGINES = 4
        private const val TICK = 100L
        private const val LATE_ORDER_MILLISECONDS = 20_000L
        private const val RECOVERY_MILLISECONDS = 60_000L
        private val ZONE = ZoneName("zone")
        private val REGION = RegionName("region")
        private val SERVICE = ServiceName("setter")
        val PRESETS = listOf("ordinary", "peak", "maintenance").map { PresetName(it) }
        val SETTINGS = OrdersSettings(
            leaseTime = 3.seconds,
            safetyMargin = 500.milliseconds,
            orderTimeout = 4.seconds,
            maximumLoads = 1,
            loadTime = 5.seconds,
            checkInterval = 200.milliseconds,
            recheckInterval = 2.seconds,
            retryInterval = 300.milliseconds,
        )
    }
}
