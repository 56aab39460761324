package org.cicadaarch.forwarding.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchReducer
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.forwarding.peer.ObservedDispatch
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/** A router's dispatch in virtual time, in front of simulated targets. */
internal class SimulatedDispatcher(
    settings: DispatchSettings,
    private val time: VirtualTime,
    private val target: (TargetId) -> SimulatedTarget?,
    routerSeed: Long = 0,
    private val onArrival: (SimulatedTarget, SimulatedRequest) -> Unit,
) : ObservedDispatch {
    private val reducer = DispatchReducer(settings)
    private val requests = HashMap<ExchangeId, SimulatedRequest>()
    private var tickAt: Timestamp? = null

    var state = DispatchState(routerSeed = routerSeed)
        private set

    /** Requests that this router failed by itself. */
    var failures = 0
        private set

    override val targetEntries: List<TargetEntry> get() = state.targets.values.map { it.entry }

    override fun takeReport(): ObservationReport {
        val report = state.observations.unreported.report(time.now)
        submit(DispatchEvent.ObservationsReported)
        return report
    }

    override fun apply(summary: ObservationSummary) = submit(DispatchEvent.FleetObserved(summary))

    fun servicesChanged(services: Map<ServiceName, ServiceLimits>) = submit(DispatchEvent.ServicesChanged(services))

    fun targetsChanged(entries: List<TargetEntry>) = submit(DispatchEvent.TargetsChanged(entries))

    fun receive(dispatchRequest: DispatchRequest, request: SimulatedRequest) {
        requests[dispatchRequest.id] = request
        submit(DispatchEvent.RequestReceived(dispatchRequest))
    }

    private fun submit(event: DispatchEvent) {
        val step = reducer.reduce(state, event, time.now)
        state = step.state
        step.effects.forEach { execute(it) }
        scheduleTick()
    }

    private fun execute(effect: DispatchEffect) {
        when (effect) {
            is DispatchEffect.Send -> time.after(NETWORK_DELAY) { arrive(effect) }

            is DispatchEffect.Fail -> failures += 1

            is DispatchEffect.Cancel,
            is DispatchEffect.Deliver,
            is DispatchEffect.RequestHeldBack,
            is DispatchEffect.TargetEjected,
            is DispatchEffect.TargetNoticeTaken,
            -> Unit
        }
    }

    private fun arrive(send: DispatchEffect.Send) {
        val request = requests.getValue(send.id)
        val reached = target(send.target.id)
        if (reached == null) {
            val refused = AttemptResult.NotStarted("gone", reachedTarget = false, isTargetAtFault = true)
            time.after(NETWORK_DELAY) { submit(DispatchEvent.AttemptEnded(send.id, send.attempt, refused)) }
            return
        }
        onArrival(reached, request)
        reached.submit(
            runTime = request.runTime,
            headTime = request.headTime,
            onHead = { report ->
                time.after(NETWORK_DELAY) {
                    submit(DispatchEvent.LoadReported(send.target.id, report))
                    submit(DispatchEvent.ResponseStarted(send.id, send.attempt))
                }
            },
            onEnd = {
                val answered = AttemptResult.Answered(status = 200, isDelivered = true)
                time.after(NETWORK_DELAY) { submit(DispatchEvent.AttemptEnded(send.id, send.attempt, answered)) }
            },
        )
    }

    private fun scheduleTick() {
        val next = reducer.nextTick(state, time.now) ?: return
        if (tickAt.let { it != null && it <= next }) return
        tickAt = next
        time.at(next) {
            if (tickAt == next) {
                tickAt = null
                submit(DispatchEvent.Tick)
            }
        }
    }

    private companion object {
        val NETWORK_DELAY: Duration = 1.milliseconds
    }
}
