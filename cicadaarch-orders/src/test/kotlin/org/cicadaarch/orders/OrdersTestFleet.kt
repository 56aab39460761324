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

/**
 * Several routers that run [OrdersReducer] in virtual time, with engines that check fencing tokens and engines that do
 * not.
 */
internal class OrdersTestFleet(seed: Long, private val bug: InjectedOrdersBug? = null) {
    private class Node(val id: RouterId, var state: OrdersState, val clockOffset: Long) {
        var pausedUntil = 0L
        var isDead = false
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
    private var lostResponsePercent = 0
    private var nextPause: Pair<PausePoint, Long>? = null

    enum class PausePoint { BEFORE_SENDING, AFTER_SENDING }

    /** The largest number of engines that were loading at once so far. */
    var maximumLoadsSeen = 0
        private set

    init {
        repeat(ROUTERS) { startNode() }
        updateViews()
    }

    fun advance(milliseconds: Long) = time.advance(milliseconds)

    fun switchPreset(number: Int) {
        activePreset = PRESETS[number]
        nodes.forEach { node ->
            time.after(random.nextLong(1, 500)) {
                whenRunning(node) { dispatch(node, OrdersEvent.FleetChanged(document())) }
            }
        }
    }

    fun kill(node: Int) {
        nodes[node].isDead = true
        nodes.removeAt(node)
        startNode()
        time.after(random.nextLong(1, 2_000)) { updateViews() }
    }

    fun pause(node: Int, milliseconds: Long) = pause(nodes[node], milliseconds)

    /** Pauses the next router that sends an order, either before it sends it or while the order is on its way. */
    fun pauseAtNextOrder(point: PausePoint, milliseconds: Long) {
        nextPause = point to milliseconds
    }

    fun limitView(node: Int, known: Set<Int>) =
        updateView(nodes[node], nodes.filterIndexed { index, _ -> index in known || index == node })

    fun restartEngine(number: Int) = engines.values.elementAt(number).restart()

    fun loseResponses(percent: Int) {
        lostResponsePercent = percent
    }

    fun endFaults() {
        store.mode = FakeLeaseStore.Mode.HEALTHY
        lostResponsePercent = 0
        nextPause = null
        nodes.forEach { it.pausedUntil = 0 }
        updateViews()
    }

    /** Ends all faults and asserts that every engine then reaches its state in the active preset. */
    fun checkRecovery() {
        endFaults()
        advance(RECOVERY_MILLISECONDS)
        engines.forEach { (id, engine) ->
            assertEquals(document().preset.wantedStates[id], engine.serving, "state served by $id")
        }
    }

    private fun pause(node: Node, milliseconds: Long) {
        node.pausedUntil = time.now + milliseconds
        time.after(random.nextLong(300, 1_000)) {
            nodes.filter { it !== node }.forEach { updateView(it, nodes - node) }
        }
        time.after(milliseconds + random.nextLong(300, 1_000)) { updateViews() }
    }

    private fun startNode() {
        val id = RouterId("n${nodesStarted++}")
        val state = OrdersState(RouterView(id, mapOf(id to info(id))), document())
        val node = Node(id, state, clockOffset = random.nextLong(-100_000, 100_000))
        nodes += node
        time.after(random.nextLong(1, TICK)) { tick(node) }
    }

    private fun updateViews() = nodes.toList().forEach { updateView(it, nodes) }

    private fun updateView(node: Node, members: List<Node>) {
        node.latestView = RouterView(node.id, members.associate { it.id to info(it.id) })
        whenRunning(node) {
            dispatch(node, OrdersEvent.RoutersChanged(node.latestView))
            dispatch(node, OrdersEvent.FleetChanged(document()))
        }
    }

    private fun tick(node: Node) {
        whenRunning(node) {
            dispatch(node, OrdersEvent.Tick)
            maximumLoadsSeen = maxOf(maximumLoadsSeen, engines.values.count { it.loading != null })
            time.after(TICK) { tick(node) }
        }
    }

    private fun whenRunning(node: Node, action: () -> Unit) {
        when {
            node.isDead -> Unit
            node.pausedUntil > time.now -> time.after(node.pausedUntil - time.now) { whenRunning(node, action) }
            else -> action()
        }
    }

    private fun dispatch(node: Node, event: OrdersEvent) {
        val step = reducer.reduce(node.state, event, clockOf(node))
        node.state = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is OrdersEffect.Store -> store.execute(effect.command) { result ->
                    whenRunning(node) { dispatch(node, OrdersEvent.StoreCallCompleted(effect.token, result)) }
                }

                is OrdersEffect.ReadEngineState -> readState(node, effect)

                is OrdersEffect.SendOrder -> {
                    pauseIfDue(node, PausePoint.BEFORE_SENDING)
                    time.after(random.nextLong(50)) { whenRunning(node) { sendOrder(node, effect) } }
                }

                is OrdersEffect.Log -> Unit
            }
        }
    }

    private fun pauseIfDue(node: Node, point: PausePoint): Boolean {
        val (pausePoint, milliseconds) = nextPause ?: return false
        if (pausePoint != point) return false
        nextPause = null
        pause(node, milliseconds)
        return true
    }

    private fun readState(node: Node, effect: OrdersEffect.ReadEngineState) {
        val engine = engines.getValue(effect.target)
        time.after(random.nextLong(1, 50)) {
            val isLost = random.nextInt(100) < lostResponsePercent
            val state = EngineState(engine.serving, engine.loading).takeUnless { isLost }
            whenRunning(node) { dispatch(node, OrdersEvent.EngineStateRead(effect.token, effect.target, state)) }
        }
    }

    private fun sendOrder(node: Node, effect: OrdersEffect.SendOrder) {
        if (clockOf(node) >= effect.sendBefore && bug != InjectedOrdersBug.SEND_DEADLINE_IGNORED) {
            dispatch(node, OrdersEvent.OrderCompleted(effect.token, effect.target, OrderResult.FAILED))
            return
        }
        val engine = engines.getValue(effect.target)
        val timeLimit = effect.timeLimit.inWholeMilliseconds
        val isLost = pauseIfDue(node, PausePoint.AFTER_SENDING) || random.nextInt(100) < lostResponsePercent
        val isDropped = isLost && random.nextBoolean()
        // Only an engine that checks fencing tokens may receive an order after its timeout: it can reject a stale one.
        val longestDelay = if (engine.checksFencing) LATE_ORDER_MILLISECONDS else timeLimit
        time.after(if (isLost) random.nextLong(1, longestDelay) else random.nextLong(1, 20)) {
            val result = if (isDropped) null else engine.order(effect.state, effect.fencingToken, isCheckBroken())
            if (!isLost && result != null) complete(node, effect, result)
        }
        if (isLost) time.after(timeLimit) { complete(node, effect, OrderResult.UNANSWERED) }
    }

    private fun complete(node: Node, effect: OrdersEffect.SendOrder, result: OrderResult) =
        whenRunning(node) { dispatch(node, OrdersEvent.OrderCompleted(effect.token, effect.target, result)) }

    private fun isCheckBroken(): Boolean = bug == InjectedOrdersBug.FENCING_NOT_CHECKED

    private fun clockOf(node: Node): Timestamp = Timestamp(time.now + node.clockOffset)

    private fun info(id: RouterId): RouterInfo = RouterInfo(id, RouterAddress("10.0.0.1", 7000), ZONE, REGION)

    private fun document(): FleetDocument = FleetDocument(
        regions = mapOf(REGION to listOf(ZONE)),
        accounts = emptyMap(),
        services = mapOf(SERVICE to Service(ServiceKind.MODEL)),
        targets = engines.mapValues { (_, engine) ->
            val checksFencing = engine.checksFencing || bug == InjectedOrdersBug.TAKEOVER_DELAY_SKIPPED
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
