package org.cicadaarch.configuration.dissemination

import kotlin.random.Random
import org.cicadaarch.configuration.FleetDocumentParser
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

typealias Reduce = (ConfigurationState, ConfigurationEvent, Timestamp) -> Step<ConfigurationState, ConfigurationEffect>

/**
 * Routers over a network with delay, loss and cuts, in virtual time; membership follows the truth with a lag.
 */
class SimulatedFleet(
    size: Int,
    seed: Long,
    private val regions: Int = 1,
    private val reducer: ConfigurationReducer = ConfigurationReducer(ConfigurationSettings(seed = seed)),
    private val reduce: Reduce = reducer::reduce,
) {
    private val random = Random(seed)
    private val parsed = mutableMapOf<String, ConfigurationEvent.Parsed>()
    private var started = 0
    private var lastDisturbedAt = -1L
    private var lastInvalidAt = -1L
    val clock = VirtualClock()
    val store = SimulatedStore(clock, random)
    val oracle = InstallationOracle()
    val routers = linkedMapOf<RouterId, SimulatedRouter>()
    var lossRate = 0.0
    var cutZone: ZoneName? = null
    var messages = 0
        private set

    init {
        repeat(size) { startAlone() }
        val all = routers.mapValues { it.value.info }
        routers.values.forEach { deliver(it, ConfigurationEvent.RoutersChanged(RouterView(it.info.id, all))) }
    }

    fun start(): SimulatedRouter = startAlone().also { membershipChanged() }

    fun stop(id: RouterId) {
        routers.remove(id)
        membershipChanged()
    }

    fun freeze(router: SimulatedRouter) {
        router.isFrozen = true
        router.lastDisturbedAt = clock.milliseconds
        membershipChanged()
    }

    fun thaw(router: SimulatedRouter) {
        router.isFrozen = false
        router.lastDisturbedAt = clock.milliseconds
        val waiting = router.backlog.toList()
        router.backlog.clear()
        waiting.forEach { deliver(router, it) }
        membershipChanged()
    }

    /** A cut or an outage begins or ends; the bound of six seconds does not hold across it. */
    fun disturb() {
        lastDisturbedAt = clock.milliseconds
    }

    /**
     * The store accepted [text] at [revision]: it must be in force within the bound, if nothing is cut meanwhile and
     * no invalid document, which hides it from those who have not read it yet, takes its place.
     */
    fun accepted(revision: Revision, text: String) {
        val document = FleetDocumentParser.parse(text).getOrNull()
        oracle.accepted(revision, document)
        val acceptedAt = clock.milliseconds
        if (document == null) lastInvalidAt = acceptedAt
        clock.after(BOUND) {
            val isCut = cutZone != null || store.isDown || maxOf(lastDisturbedAt, lastInvalidAt) >= acceptedAt
            if (!isCut) oracle.assertInForce(undisturbedSince(acceptedAt), revision)
        }
    }

    fun undisturbedSince(time: Long): List<RouterId> =
        routers.values.filter { !it.isFrozen && it.lastDisturbedAt <= time }.map { it.info.id }

    fun deliver(router: SimulatedRouter, event: ConfigurationEvent) {
        if (routers[router.info.id] !== router) return
        if (router.isFrozen) {
            if (event != ConfigurationEvent.Tick) router.backlog += event
            return
        }
        val step = reduce(router.state, event, clock.now)
        router.state = step.state
        step.effects.forEach { carryOut(router, it) }
    }

    private fun startAlone(): SimulatedRouter {
        val number = started++
        val info = RouterInfo(
            id = RouterId("router-$number"),
            address = RouterAddress("10.0.0.1", number),
            zone = ZoneName("zone-${number % ZONES}"),
            region = RegionName("region-${number % ZONES % regions}"),
        )
        val router = SimulatedRouter(info, reducer.initial(RouterView(info.id, mapOf(info.id to info)), clock.now))
        router.lastDisturbedAt = clock.milliseconds
        routers[info.id] = router
        every(TICK, router) { deliver(router, ConfigurationEvent.Tick) }
        every(DIGEST_PERIOD, router) { sendDigest(router) }
        return router
    }

    private fun carryOut(router: SimulatedRouter, effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Send ->
                send(router, effect.to, ConfigurationEvent.Received(router.info.id, effect.message))

            is ConfigurationEffect.CallStore -> store.execute(effect.command) {
                deliver(router, ConfigurationEvent.StoreCallCompleted(effect.token, it))
            }

            is ConfigurationEffect.Parse -> clock.after(random.nextLong(SLOWEST_PARSE)) {
                val result = parsed.getOrPut(effect.text) {
                    ConfigurationEvent.Parsed(effect.revision, FleetDocumentParser.parse(effect.text))
                }
                deliver(router, result.copy(revision = effect.revision))
            }

            is ConfigurationEffect.Install -> oracle.installed(router.info.id, effect.revision, effect.document)

            is ConfigurationEffect.Rejected, is ConfigurationEffect.Missing -> Unit
        }
    }

    private fun send(from: SimulatedRouter, to: RouterId, event: ConfigurationEvent) {
        messages++
        val receiver = routers[to] ?: return
        if (random.nextDouble() < lossRate || isCut(from, receiver)) return
        clock.after(random.nextLong(1, SLOWEST_MESSAGE)) { deliver(receiver, event) }
    }

    private fun isCut(one: SimulatedRouter, other: SimulatedRouter): Boolean =
        one.info.zone != other.info.zone && (one.info.zone == cutZone || other.info.zone == cutZone)

    private fun sendDigest(router: SimulatedRouter) {
        val others = router.state.view.routers.keys - router.info.id
        val digest = ConfigurationEvent.DigestReceived(router.info.id, router.state.revision)
        if (others.isNotEmpty()) send(router, others.random(random), digest)
    }

    private fun membershipChanged() = routers.values.forEach { observer ->
        clock.after(random.nextLong(SLOWEST_MEMBERSHIP)) {
            val live = routers.values.filter { it === observer || !it.isFrozen }.associate { it.info.id to it.info }
            val view = RouterView(observer.info.id, live)
            if (view != observer.state.view) deliver(observer, ConfigurationEvent.RoutersChanged(view))
        }
    }

    private fun every(period: Long, router: SimulatedRouter, action: () -> Unit) {
        fun next() {
            if (routers[router.info.id] !== router) return
            if (!router.isFrozen) action()
            clock.after(period, ::next)
        }
        clock.after(random.nextLong(period), ::next)
    }

    private companion object {
        const val ZONES = 4
        const val TICK = 100L
        const val DIGEST_PERIOD = 500L
        const val SLOWEST_PARSE = 1_500L
        const val SLOWEST_MESSAGE = 40L
        const val SLOWEST_MEMBERSHIP = 3_000L
        const val BOUND = 6_000L
    }
}
