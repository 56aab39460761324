package org.cicadaarch.experiment.capacity

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionEvent
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.AdmissionReducer
import org.cicadaarch.admission.AdmissionState
import org.cicadaarch.admission.PermitDemand
import org.cicadaarch.admission.TargetOwnership
import org.cicadaarch.core.PeerMessage
import org.cicadaarch.core.RouterEffect
import org.cicadaarch.core.RouterEvent
import org.cicadaarch.core.RouterReducer
import org.cicadaarch.core.RouterState
import org.cicadaarch.experiment.Experiment
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.placement.Candidate
import org.cicadaarch.placement.TargetRanking
import org.cicadaarch.protocol.PeerCodec
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.testkit.simulation.SimulatedWorkload

/**
 * Measures the slopes that the capacity page is worked out from: time and allocation of single decisions after a
 * warm-up on one thread, and encoded sizes of messages. Plain loops, no JMH.
 */
internal class CapacityExperiment : Experiment {
    override val name: String = "capacity"
    override val summary: String = "time, allocation and message sizes of single decisions"

    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private var sink = 0

    override fun run(arguments: List<String>): Int {
        println("%-52s %12s %14s".format("decision", "ns each", "bytes each"))
        listOf(35, 910).forEach(::ranking)
        listOf(7, 360).forEach(::ownership)
        listOf(12, 910).forEach(::permit)
        listOf(7, 360).forEach(::wholeRequest)
        listOf(7, 360).forEach(::idleTick)
        println()
        println("%-52s %12s".format("message", "bytes"))
        sizes().forEach { (name, message) -> println("%-52s %12d".format(name, bytes(message))) }
        return 0
    }

    private fun ranking(targets: Int) {
        val candidates = (1..targets).map { Candidate(TargetId("engine-$it"), weight = 8.0) }
        measure("ranking of $targets targets for a chat") { number ->
            TargetRanking.forChat(ACCOUNT, ChatId("chat-$number"), candidates, region = null).size
        }
    }

    private fun ownership(routers: Int) {
        val view = view(routers)
        measure("admission owner among $routers routers") { number ->
            TargetOwnership.ownerOf(TargetId("engine-${number % 910}"), view).hashCode()
        }
    }

    private fun permit(targets: Int) {
        val reducer = AdmissionReducer()
        val start = AdmissionState(view = view(1), fleet = null)
        var state = reducer.reduce(
            start,
            AdmissionEvent.FleetChanged(SimulatedWorkload.fleet(targets = targets, capacity = 8)),
            Timestamp(0),
        ).state
        val ingress = state.view.self
        measure("permit granted and released, $targets targets") { number ->
            val target = TargetId("engine-${number % targets + 1}")
            val attempt = AttemptId(RequestId("request-$number"), 1)
            val now = Timestamp(number.toLong())
            val request = AdmissionMessage.PermitRequest(attempt, target, DEMAND)
            val asked = reducer.reduce(state, AdmissionEvent.Received(ingress, request), now)
            val release = AdmissionMessage.PermitReleased(attempt, target)
            state = reducer.reduce(asked.state, AdmissionEvent.Received(ingress, release), now).state
            asked.effects.size
        }
    }

    private fun wholeRequest(routers: Int) {
        val reducer = RouterReducer()
        var state = started(reducer, routers, targets = 35)
        measure("whole request at one router of $routers, 35 targets") { number ->
            val now = Timestamp(number.toLong())
            val head = SimulatedWorkload.head(number)
            var step = reducer.reduce(state, RouterEvent.Ingress(IngressEvent.RequestReceived(head)), now)
            val sent = step.effects.filterIsInstance<RouterEffect.SendToPeer>().firstOrNull()
            val request = (sent?.message as? PeerMessage.ToAdmissionOwner)?.message as? AdmissionMessage.PermitRequest
            val attempt = request?.attempt ?: AttemptId(head.id, 1)
            if (request != null) {
                val granted = AdmissionMessage.PermitGranted(attempt, request.target, 10.seconds)
                val event = RouterEvent.PeerMessageReceived(checkNotNull(sent).to, PeerMessage.ToIngress(granted))
                step = reducer.reduce(step.state, event, now)
            }
            val completed = RouterEvent.Ingress(IngressEvent.AttemptCompleted(attempt))
            state = reducer.reduce(step.state, completed, now).state
            state.ingress.requests.size
        }
    }

    private fun idleTick(routers: Int) {
        val reducer = RouterReducer()
        var state = started(reducer, routers, targets = 910)
        measure("tick of all roles, $routers routers in view, 910 targets", rounds = TICK_ROUNDS) { number ->
            val now = Timestamp(number * RouterReducer.TICK_INTERVAL.inWholeMilliseconds)
            val step = reducer.reduce(state, RouterEvent.Tick, now)
            state = step.state
            step.effects.size
        }
    }

    private fun started(reducer: RouterReducer, routers: Int, targets: Int): RouterState {
        val view = view(routers)
        val initial = reducer.initial(view.routers.getValue(view.self), Timestamp(0), epochSeconds = 0)
        val joined = reducer.reduce(initial, RouterEvent.RoutersChanged(view), Timestamp(0)).state
        val fleet = SimulatedWorkload.fleet(targets = targets, capacity = 8)
        return reducer.reduce(joined, RouterEvent.FleetChanged(Revision(1), fleet), Timestamp(0)).state
    }

    private fun view(routers: Int): RouterView {
        val infos = (1..routers).map { number ->
            val address = RouterAddress("10.0.0.$number", PORT)
            RouterInfo(RouterId("10.0.0.$number:$PORT/$number"), address, ZoneName("zone"), RegionName("region"))
        }
        return RouterView(infos.first().id, infos.associateBy { it.id })
    }

    private fun measure(name: String, rounds: Int = ROUNDS, action: (Int) -> Int) {
        repeat(rounds) { sink += action(it) }
        val thread = Thread.currentThread().id
        val allocatedBefore = threads.getThreadAllocatedBytes(thread)
        val begun = threads.currentThreadCpuTime
        repeat(rounds) { sink += action(rounds + it) }
        val nanoseconds = threads.currentThreadCpuTime - begun
        val allocated = threads.getThreadAllocatedBytes(thread) - allocatedBefore
        println("%-52s %12d %14d".format(name, nanoseconds / rounds, allocated / rounds))
    }

    private fun sizes(): List<Pair<String, PeerMessage>> {
        val attempt = AttemptId(RequestId("255287bb6ba32eac-123456"), 1)
        val target = TargetId("hire-engine-1")
        val request = AdmissionMessage.PermitRequest(attempt, target, DEMAND)
        return listOf(
            "permit request" to PeerMessage.ToAdmissionOwner(request),
            "permit granted" to PeerMessage.ToIngress(AdmissionMessage.PermitGranted(attempt, target, 10.seconds)),
            "permit released" to
                PeerMessage.ToAdmissionOwner(AdmissionMessage.PermitReleased(attempt, target, 1.seconds)),
            "heartbeat" to PeerMessage.Heartbeat(1),
        )
    }

    private fun bytes(message: PeerMessage): Int = PeerCodec.encode(message).size + PeerCodec.LENGTH_BYTES

    private companion object {
        const val ROUNDS = 20_000
        const val TICK_ROUNDS = 2_000
        const val PORT = 7_000
        val ACCOUNT = AccountId("account")
        val DEMAND = PermitDemand(
            account = AccountId("teme-valley-nets"),
            chat = ChatId("chat-123456"),
            priority = Priority.STANDARD,
            timeAllowed = 10.seconds,
            promptTokens = 2_000,
            outputTokens = 380,
            isReturning = true,
        )
    }
}
