package org.cicadaarch.experiment.orders

import kotlin.random.Random
import org.cicadaarch.experiment.ledger.VirtualTime
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState
import org.cicadaarch.orders.EngineState
import org.cicadaarch.orders.OrderResult
import org.cicadaarch.orders.OrdersEffect
import org.cicadaarch.orders.OrdersEvent
import org.cicadaarch.orders.OrdersReducer
import org.cicadaarch.orders.OrdersSettings
import org.cicadaarch.orders.OrdersState

/**
 * Two routers and one group of [engines] that each load for [loadSeconds] after an order.
 */
internal class OrdersSimulation(
    private val settings: OrdersSettings,
    engines: Int,
    private val checksFencing: Boolean,
    private val loadSeconds: Int,
    seed: Long,
) {
    private class Node(val id: RouterId, var state: OrdersState, var isAlive: Boolean = true)

    private class Engine(var serving: WantedState? = null, var loading: WantedState? = null)

    private val random = Random(seed)
    private val time = VirtualTime()
    private val reducer = OrdersReducer(settings)
    private val store = SimulatedLeaseStore(time, random)
    private val engines = (1..engines).associate { TargetId("engine-$it") to Engine() }
    private var activePreset = ORDINARY
    private val nodes: List<Node>

    /** Store calls, orders and state reads so far. */
    val storeCalls: Long get() = store.calls
    var orders = 0L
        private set
    var reads = 0L
        private set

    init {
        val ids = listOf("router-1", "router-2").map { RouterId(it) }
        nodes = ids.map { Node(it, OrdersState(viewOf(it, ids), document())) }
        nodes.forEach { node -> time.after(random.nextLong(TICK)) { tick(node) } }
    }

    /** Runs until all engines serve the active preset's state; returns the virtual seconds that it took. */
    fun settle(): Double {
        val start = time.now
        while (engines.values.any { it.serving != wanted() }) {
            time.runUntil(time.now + TICK)
            check(time.now - start < LIMIT) { "the engines did not reach their state" }
        }
        return (time.now - start) / MICROSECONDS
    }

    /** Runs for [seconds]. */
    fun run(seconds: Int) = time.runUntil(time.now + seconds * MICROSECONDS.toLong())

    /** Makes the other preset active. */
    fun switchPreset() {
        activePreset = if (activePreset == ORDINARY) PEAK else ORDINARY
        nodes.filter { it.isAlive }.forEach { on(it, OrdersEvent.FleetChanged(document())) }
    }

    /** Ends the router that holds the group; the other learns it after [detectionSeconds]. */
    fun killHolder(detectionSeconds: Int) {
        val holder = nodes.first { node -> node.state.groups.values.any { it.lease?.fencingToken != null } }
        holder.isAlive = false
        val rest = nodes.filter { it.isAlive }
        time.after(detectionSeconds * MICROSECONDS.toLong()) {
            rest.forEach { on(it, OrdersEvent.RoutersChanged(viewOf(it.id, rest.map { node -> node.id }))) }
        }
    }

    private fun tick(node: Node) {
        if (!node.isAlive) return
        on(node, OrdersEvent.Tick)
        time.after(TICK) { tick(node) }
    }

    private fun on(node: Node, event: OrdersEvent) {
        if (!node.isAlive) return
        val step: Step<OrdersState, OrdersEffect> =
            reducer.reduce(node.state, event, Timestamp(time.now / MICROSECONDS_PER_MILLISECOND))
        node.state = step.state
        step.effects.forEach { carryOut(node, it) }
    }

    private fun carryOut(node: Node, effect: OrdersEffect) = when (effect) {
        is OrdersEffect.Store -> store.execute(effect.command) {
            on(node, OrdersEvent.StoreCallCompleted(effect.token, it))
        }

        is OrdersEffect.ReadEngineState -> time.after(ENGINE_DELAY) {
            reads += 1
            val engine = engines.getValue(effect.target)
            val state = EngineState(engine.serving, engine.loading)
            on(node, OrdersEvent.EngineStateRead(effect.token, effect.target, state))
        }

        is OrdersEffect.SendOrder -> time.after(ENGINE_DELAY) {
            orders += 1
            load(engines.getValue(effect.target), effect.state)
            on(node, OrdersEvent.OrderCompleted(effect.token, effect.target, OrderResult.ACCEPTED))
        }

        is OrdersEffect.Log -> Unit
    }

    private fun load(engine: Engine, state: WantedState) {
        engine.loading = state
        time.after(loadSeconds * MICROSECONDS.toLong()) {
            if (engine.loading == state) {
                engine.serving = state
                engine.loading = null
            }
        }
    }

    private fun wanted(): WantedState = WantedState("model", version = activePreset.value)

    private fun document(): FleetDocument = FleetDocument(
        regions = mapOf(REGION to listOf(ZONE)),
        accounts = emptyMap(),
        services = mapOf(SERVICE to Service(ServiceKind.MODEL)),
        targets = engines.mapValues {
            Target(SERVICE, "10.0.1.1:8000", ZONE, capacity = 8, checksFencing = checksFencing)
        },
        presets = listOf(ORDINARY, PEAK).associateWith { preset ->
            Preset(wantedStates = engines.mapValues { WantedState("model", version = preset.value) })
        },
        activePreset = activePreset,
    )

    private fun viewOf(self: RouterId, ids: List<RouterId>): RouterView =
        RouterView(self, ids.associateWith { RouterInfo(it, RouterAddress("10.0.0.1", 7000), ZONE, REGION) })

    private companion object {
        const val MICROSECONDS = 1_000_000.0
        const val MICROSECONDS_PER_MILLISECOND = 1_000L
        const val TICK = 100_000L
        const val ENGINE_DELAY = 1_000L
        const val LIMIT = 7_200_000_000L
        val ORDINARY = PresetName("ordinary")
        val PEAK = PresetName("peak")
        val ZONE = ZoneName("zone")
        val REGION = RegionName("region")
        val SERVICE = ServiceName("setter")
    }
}
