package org.cicadaarch.testkit.simulation

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.core.RouterEffect
import org.cicadaarch.core.RouterEvent
import org.cicadaarch.core.RouterReducer
import org.cicadaarch.core.RouterState
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.request.IngressEffect
import org.cicadaarch.request.IngressEvent

/**
 * Several routers' real reducers, joined by a message queue in virtual time, before simulated targets.
 */
class FleetSimulation(
    seed: Long,
    routerCount: Int,
    fleet: FleetDocument,
    crashing: Set<Fingerprint> = emptySet(),
    runTime: Duration = RUN_TIME,
    private val faults: Set<SeededFault> = emptySet(),
    private val reducer: RouterReducer = RouterReducer(),
) {
    /** The simulation's time. */
    val clock: VirtualClock = VirtualClock()

    /** What happens to messages between routers. */
    val network: NetworkFaults = NetworkFaults(Random(seed))

    /** The platform's store. */
    val store: SimulatedStore = SimulatedStore(
        clock = clock,
        random = Random(seed + 1),
        ignoresConditions = SeededFault.STORE_IGNORES_CONDITIONS in faults,
    )

    /** Every request that was sent to a router. */
    val requests: MutableMap<RequestId, SimulatedRequest> = linkedMapOf()

    /** The targets of the first configuration. */
    val targets: Map<TargetId, SimulatedTarget> = fleet.targets.mapValues {
        SimulatedTarget(clock, runTime, RESTART_TIME, crashing)
    }

    private var document = fleet
    private var revision = Revision(1)
    private val infos = (1..routerCount).map { number ->
        RouterInfo(
            RouterId("router-$number"),
            RouterAddress("127.0.0.1", number),
            ZoneName("zone"),
            RegionName("region"),
        )
    }
    private val routers = infos.associate { it.id to SimulatedRouter(it) }

    init {
        routers.values.forEach { router ->
            updateView(router.info.id)
            router.dispatch(RouterEvent.FleetChanged(revision, fleet))
            router.repeat(RouterReducer.TICK_INTERVAL) { RouterEvent.Tick }
            router.repeat(RouterReducer.LEDGER_TICK_INTERVAL) { RouterEvent.LedgerTick(epochSeconds()) }
        }
    }

    /** The routers that have not been killed. */
    val liveRouters: List<RouterId> get() = routers.values.filter { it.alive }.map { it.info.id }

    /** The state of [router]. */
    fun state(router: RouterId): RouterState = routers.getValue(router).state

    /** A caller sends a request to [router]; it is lost if the router is dead. */
    fun arrive(router: RouterId, head: RequestHead) {
        requests[head.id] = SimulatedRequest(head, router, clock.now)
        routers.getValue(router).dispatch(RouterEvent.Ingress(IngressEvent.RequestReceived(head)))
    }

    /** The process of [router] ends at once: its connections close, and others learn of it after [noticedAfter]. */
    fun kill(router: RouterId, noticedAfter: Duration) {
        routers.getValue(router).kill()
        clock.after(noticedAfter) { liveRouters.forEach { updateView(it) } }
    }

    /** [router] is paused for [duration]; what reaches it meanwhile is handled afterwards. */
    fun freeze(router: RouterId, duration: Duration) = routers.getValue(router).freeze(duration)

    /** Puts a changed document in force everywhere, at each router after a random part of [spread]. */
    fun changeFleet(spread: Duration, random: Random, change: (FleetDocument) -> FleetDocument) {
        document = change(document)
        revision = Revision(revision.value + 1)
        val event = RouterEvent.FleetChanged(revision, document)
        routers.values.forEach { router -> clock.after(spread * random.nextDouble()) { router.dispatch(event) } }
    }

    /** [router] believes that only [others] and itself are live. */
    fun setView(router: RouterId, others: Set<RouterId>) {
        val listed = infos.filter { it.id == router || it.id in others }.associateBy { it.id }
        routers.getValue(router).dispatch(RouterEvent.RoutersChanged(RouterView(router, listed)))
    }

    /** [router] learns the true list of live routers. */
    fun updateView(router: RouterId) = setView(router, liveRouters.toSet())

    /** The attempts that ran for [request] on all targets. */
    fun starts(request: RequestId): Int = targets.values.sumOf { it.starts(request) }

    private fun epochSeconds(): Long = EPOCH_SECONDS + clock.now.milliseconds / MILLISECONDS_PER_SECOND

    private inner class SimulatedRouter(val info: RouterInfo) {
        var alive = true
            private set
        var state = reducer.initial(info, clock.now, epochSeconds())
            private set
        private var frozenUntil: Timestamp? = null
        private val delayed = mutableListOf<() -> Unit>()
        private val connections = mutableMapOf<AttemptId, TargetId>()

        fun dispatch(event: RouterEvent) = whenRunning {
            val step = reducer.reduce(state, event, clock.now)
            state = step.state
            step.effects.forEach(::carryOut)
        }

        fun repeat(interval: Duration, event: () -> RouterEvent) {
            clock.after(interval) {
                if (alive) {
                    dispatch(event())
                    repeat(interval, event)
                }
            }
        }

        fun kill() {
            alive = false
            connections.forEach { (attempt, target) -> targets.getValue(target).cancel(attempt) }
            connections.clear()
        }

        fun freeze(duration: Duration) {
            frozenUntil = clock.now + duration
            clock.after(duration) {
                frozenUntil = null
                val due = delayed.toList()
                delayed.clear()
                due.forEach { it() }
            }
        }

        private fun whenRunning(action: () -> Unit) {
            when {
                !alive -> Unit
                frozenUntil != null -> delayed += { if (alive) action() }
                else -> action()
            }
        }

        private fun carryOut(effect: RouterEffect) {
            when (effect) {
                is RouterEffect.SendToPeer -> network.deliveries(info.id, effect.to).forEach { delay ->
                    clock.after(delay) {
                        routers[effect.to]?.dispatch(RouterEvent.PeerMessageReceived(info.id, effect.message))
                    }
                }

                is RouterEffect.Ingress -> carryOut(effect.effect)

                is RouterEffect.Store -> store.execute(effect.command) { result ->
                    dispatch(RouterEvent.StoreCallCompleted(effect.token, result))
                }

                is RouterEffect.SendDatagram,
                is RouterEffect.ParseDocument,
                is RouterEffect.Orders,
                is RouterEffect.Log,
                RouterEffect.FetchVirtualMachines,
                -> Unit
            }
        }

        private fun carryOut(effect: IngressEffect) {
            when (effect) {
                is IngressEffect.StartAttempt -> clock.after(CONNECT_TIME) { connect(effect) }

                is IngressEffect.CancelAttempt -> connections.remove(effect.attempt)?.let {
                    targets.getValue(it).cancel(effect.attempt)
                }

                is IngressEffect.ProbeTarget -> clock.after(CONNECT_TIME) {
                    val isUp = targets.getValue(effect.target).isUp
                    dispatch(RouterEvent.Ingress(IngressEvent.ProbeAnswered(effect.attempt, isUp)))
                }

                is IngressEffect.EndRequest -> requests.getValue(effect.request)
                    .end(effect.outcome, effect.reason, clock.now)

                is IngressEffect.Claim,
                is IngressEffect.FinishClaim,
                is IngressEffect.SendToOwner,
                is IngressEffect.ReportCrash,
                -> Unit
            }
        }

        private fun connect(effect: IngressEffect.StartAttempt) {
            if (!alive) return
            val target = targets.getValue(effect.target)
            val attempt = effect.attempt
            if (!target.isUp) {
                report(IngressEvent.AttemptFailed(attempt, AttemptFailure.NotConnected, delivered = 0))
                return
            }
            connections[attempt] = effect.target
            target.start(attempt, requests.getValue(attempt.request).head) { completed ->
                connections.remove(attempt)
                reportEnd(attempt, completed)
            }
        }

        private fun reportEnd(attempt: AttemptId, completed: Boolean) {
            val failure = if (SeededFault.LOST_CONNECTION_REPORTED_AS_NOT_MADE in faults) {
                AttemptFailure.NotConnected
            } else {
                AttemptFailure.ConnectionLost
            }
            val event = if (completed) {
                IngressEvent.AttemptCompleted(attempt)
            } else {
                IngressEvent.AttemptFailed(attempt, failure, delivered = 0)
            }
            report(event)
        }

        private fun report(event: IngressEvent) = dispatch(RouterEvent.Ingress(event))
    }

    private companion object {
        val RUN_TIME = 200.milliseconds
        val RESTART_TIME = 1.seconds
        val CONNECT_TIME = 1.milliseconds
        const val EPOCH_SECONDS = 1_700_000_000L
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
