package org.cicadaarch.admission

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.cicadaarch.admission.AdmissionMessage.PermitGranted
import org.cicadaarch.admission.AdmissionMessage.PermitRefused
import org.cicadaarch.admission.AdmissionMessage.PermitReleased
import org.cicadaarch.admission.AdmissionMessage.PermitRequest
import org.cicadaarch.admission.AdmissionMessage.PermitSpilled
import org.cicadaarch.admission.AdmissionMessage.PermitsRenewed
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Grants permits for the targets that this router owns, within each target's capacity.
 */
class AdmissionReducer(private val permitLease: Duration = PERMIT_LEASE) {
    /** The state and the answers after [event] at [now]. */
    fun reduce(state: AdmissionState, event: AdmissionEvent, now: Timestamp): Step<AdmissionState, AdmissionEffect> =
        when (event) {
            is AdmissionEvent.Received -> received(state, event.from, event.message, now)
            is AdmissionEvent.RoutersChanged -> Step(state.copy(view = event.view))
            is AdmissionEvent.FleetChanged -> Step(state.copy(fleet = event.fleet))
            is AdmissionEvent.LoadReported -> Step(state)
            AdmissionEvent.Tick -> Step(withoutLapsedPermits(state, now))
        }

    private fun received(
        state: AdmissionState,
        from: RouterId,
        message: AdmissionMessage,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> = when (message) {
        is PermitRequest -> requested(state, from, message, now)
        is PermitReleased -> Step(released(state, message))
        is PermitsRenewed -> Step(renewed(state, from, message, now))
        else -> Step(state)
    }

    private fun requested(
        state: AdmissionState,
        from: RouterId,
        request: PermitRequest,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val target = state.fleet?.targets?.get(request.target)
        val held = state.permits[request.target] ?: persistentMapOf()
        if (target == null || target.leaving) {
            val refusal = PermitRefused(request.attempt, request.target, PermitRefusal.TARGET_GONE)
            return Step(state, listOf(AdmissionEffect.Send(from, refusal)))
        }
        if (held.size >= ceil(target.capacity * CAPACITY_MULTIPLE)) {
            val spill = PermitSpilled(request.attempt, request.target, hint = null)
            return Step(state, listOf(AdmissionEffect.Send(from, spill)))
        }
        val permit = Permit(holder = from, demand = request.demand, lapsesAt = now + permitLease)
        return Step(
            state.copy(permits = state.permits.put(request.target, held.put(request.attempt, permit))),
            listOf(AdmissionEffect.Send(from, PermitGranted(request.attempt, request.target, permitLease))),
        )
    }

    private fun released(state: AdmissionState, message: PermitReleased): AdmissionState {
        val held = state.permits[message.target] ?: return state
        return state.copy(permits = state.permits.put(message.target, held.remove(message.attempt)))
    }

    private fun renewed(
        state: AdmissionState,
        from: RouterId,
        message: PermitsRenewed,
        now: Timestamp,
    ): AdmissionState {
        val held = state.permits[message.target] ?: persistentMapOf()
        val renewals = message.permits.associate { it.attempt to Permit(from, it.demand, now + permitLease) }
        return state.copy(permits = state.permits.put(message.target, held.putAll(renewals)))
    }

    private fun withoutLapsedPermits(state: AdmissionState, now: Timestamp): AdmissionState = state.copy(
        permits = state.permits
            .mapValues { (_, held) -> held.filterValues { it.lapsesAt > now }.toPersistentMap() }
            .toPersistentMap(),
    )

    private companion object {
        val PERMIT_LEASE = 10.seconds
        const val CAPACITY_MULTIPLE = 1.25
    }
}
