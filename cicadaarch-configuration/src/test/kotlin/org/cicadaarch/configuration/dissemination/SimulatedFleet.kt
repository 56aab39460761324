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
 * Routers in virtual time on a network with delays, message loss and partitions; membership views are updated late.
 */
class SimulatedFleet(
    size: Int,
    seed: Long,
    private val regions: Int = 1,
    private val reducer: ConfigurationReducer = ConfigurationReducer(ConfigurationSettings(seed = seed)),
    private val reduce: Reduce = reducer::reduce,
) {
    private val random = Random(seed)
    private val parseResults = mutableMapOf<String, ConfigurationEvent.Parsed>()
    private var started = 0
    private var lastDisturbedAt = -1L
    private var lastInvalidAt = -1L
    val clock = VirtualClock()
    val store = SimulatedStore(clock, random)
    val oracle = InstallationOracle()
    val routers = linkedMapOf<RouterId, SimulatedRouter>()
    var lossRate = 0.0
    var partitionedZone: ZoneName? = null
    var messages = 0
        private set

    init {
        repeat(size) { addRouter() }
        val all = routers.mapValues { it.value.info }
        routers.values.forEach { deliver(it, ConfigurationEvent.RoutersChanged(RouterView(it.info.id, all))) }
    }

    fun start(): SimulatedRouter = addRouter().also { updateMembership() }

    fun stop(id: RouterId) {
        routers.remove(id)
        updateMembership()
    }

    fun pause(router: SimulatedRouter) {
        router.isPaused = true
        router.lastDisturbedAt = clock.milliseconds
        updateMembership()
    }

    fun resume(router: SimulatedRouter) {
        router.isPaused = false
        router.lastDisturbedAt = clock.milliseconds
        val backlog = router.backlog.toList()
        router.backlog.clear()
        backlog.forEach { deliver(router, it) }
        updateMembership()
    }

    /** Records that a partition or store outage starts or ends; the installation deadline does not apply across it. */
    fun recordDisturbance() {
        lastDisturbedAt = clock.milliseconds
    }

    /**
     * Records that the store accepted [text] at [revision], which must be installed everywhere within the deadline.
     * Exceptions: a partition or store outage meanwhile, or an invalid document that replaces this one in the store, so
     * that watchers that have not read it yet never see it.
     */
    fun recordAccepted(revision: Revision, text: String) {
        val document = FleetDocumentParser.parse(text).getOrNull()
        oracle.recordAccepted(revision, document)
        val acceptedAt = clock.milliseconds
        if (document == null) lastInvalidAt = acceptedAt
        clock.after(INSTALL_DEADLINE) {
            val lastExceptionAt = maxOf(lastDisturbedAt, lastInvalidAt)
            val isExempt = partitionedZone != null || store.isDown || lastExceptionAt >= acceptedAt
            if (!isExempt) oracle.assertInstalled(undisturbedSince(acceptedAt), revision)
        }
    }

    fun undisturbedSince(time: Long): List<RouterId> =
        routers.values.filter { !it.isPaused && it.lastDisturbedAt <= time }.map { it.info.id }

    fun deliver(router: SimulatedRouter, event: ConfigurationEvent) {
        if (routers[router.info.id] !== router) return
        if (router.isPaused) {
            if (event != ConfigurationEvent.Tick) router.backlog += event
            return
        }
        val step = reduce(router.state, event, clock.now)
        router.state = step.state
        step.effects.forEach { execute(router, it) }
    }

    private fun addRouter(): SimulatedRouter {
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

    private fun execute(router: SimulatedRouter, effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Send ->
                send(router, effect.to, ConfigurationEvent.Received(router.info.id, effect.message))

            is ConfigurationEffect.CallStore -> store.execute(effect.command) {
                deliver(router, ConfigurationEvent.StoreCallCompleted(effect.token, it))
            }

            is ConfigurationEffect.Parse -> clock.after(random.nextLong(MAX_PARSE_TIME)) {
                val result = parseResults.getOrPut(effect.text) {
                    ConfigurationEvent.Parsed(effect.revision, FleetDocumentParser.parse(effect.text))
                }
                deliver(router, result.copy(revision = effect.revision))
            }

            is ConfigurationEffect.Install -> oracle.onInstalled(router.info.id, effect.revision, effect.document)

            is ConfigurationEffect.Rejected, is ConfigurationEffect.Missing -> Unit
        }
    }

    private fun send(from: SimulatedRouter, to: RouterId, event: ConfigurationEvent) {
        messages++
        val receiver = routers[to] ?: return
        if (random.nextDouble() < lossRate || isPartitioned(from, receiver)) return
        clock.after(random.nextLong(1, MAX_MESSAGE_DELAY)) { deliver(receiver, event) }
    }

    private fun isPartitioned(one: SimulatedRouter, other: SimulatedRouter): Boolean =
        one.info.zone != other.info.zone && (one.info.zone == partitionedZone || other.info.zone == partitionedZone)

    private fun sendDigest(router: SimulatedRouter) {
        val others = router.state.view.routers.keys - router.info.id
        val digest = ConfigurationEvent.DigestReceived(router.info.id, router.state.revision)
        if (others.isNotEmpty()) send(router, others.random(random), digest)
    }

    private fun updateMembership() = routers.values.forEach { observer ->
        clock.after(random.nextLong(MAX_MEMBERSHIP_DELAY)) {
            val live = routers.values.filter { it === observer || !it.isPaused }.associate { it.info.id to it.info }
            val view = RouterView(observer.info.id, live)
            if (view != observer.state.view) deliver(observer, ConfigurationEvent.RoutersChanged(view))
        }
    }

    private fun every(period: Long, router: SimulatedRouter, action: () -> Unit) {
        fun next() {
            if (routers[router.info.id] !== router) return
            if (!router.isPaused) action()
            clock.after(period, ::next)
        }
        clock.after(random.nextLong(period), ::next)
    }

    private companion object {
        const val ZONES = 4
        const val TICK = 100L
        const val DIGEST_PERIOD = 500L
        const val MAX_PARSE_TIME = 1_500L
        const val MAX_MESSAGE_DELAY = 40L
        const val MAX_MEMBERSHIP_DELAY = 3_000L
        const val INSTALL_DEADLINE = 6_000L
    }
}
