package org.cicadaarch.dispatch.request

import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.quarantine.QuarantineRule
import org.cicadaarch.dispatch.request.OpenRequest.Phase.InFlight
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * The state of the dispatch after a change that does not concern a single request.
 */
internal object FleetChanges {
    /** The state after other routers told what the fleet observes. */
    fun observed(state: DispatchState, summary: ObservationSummary, now: Timestamp): DispatchState {
        val observedAt = now - summary.age
        val targets = state.targets.builder()
        state.targets.forEach { (id, target) ->
            val heavy = summary.heavyLoads[id]?.dated(now)
            val typical = summary.typicalLoads[target.entry.service]
            targets[id] = target.withFleetLoad(heavy, typical, observedAt)
        }
        val observations = state.observations.withSummary(summary, observedAt)
        val capacities = state.capacities.withFleet(summary.capacities, observedAt)
        return state.copy(targets = targets.build(), observations = observations, capacities = capacities)
    }

    /** The state with the registered targets [entries]. What is known of a process is kept until it ends. */
    fun targets(state: DispatchState, entries: List<TargetEntry>, now: Timestamp): DispatchState {
        val known = state.targets
        var targets = known
        (known.keys - entries.map { it.id }.toSet()).forEach { targets = targets.remove(it) }
        entries.forEach { entry ->
            val before = known[entry.id]
            val after = if (before != null && before.entry.isSameProcess(entry)) before.copy(entry = entry) else null
            val target = after ?: TargetState(entry, inFlight = attemptsAt(state, entry))
            targets = targets.put(entry.id, WarmUpChanges.seen(target, before, now))
        }
        val unchanged = entries.filter { known[it.id]?.entry?.isSameProcess(it) == true }
        val capacities = state.capacities.retain(unchanged.mapTo(HashSet()) { it.id })
        return state.copy(targets = targets, capacities = capacities)
    }

    /** The state with the limits of [services]. */
    fun services(state: DispatchState, services: Map<ServiceName, ServiceLimits>): DispatchState =
        state.copy(services = services)

    /** The state in which exactly [zones] are evacuated. */
    fun evacuations(state: DispatchState, zones: Set<ZoneName>, now: Timestamp): DispatchState =
        WarmUpChanges.evacuationsEnded(state, state.evacuations.zones - zones, now)
            .copy(evacuations = state.evacuations.with(zones, now))

    /** The state in which requests are held back by [rules]. */
    fun quarantine(state: DispatchState, rules: List<QuarantineRule>): DispatchState =
        state.copy(heldRequests = state.heldRequests.withRules(rules))

    /** The number of attempts in flight at the process with [entry], which may have been known before. */
    private fun attemptsAt(state: DispatchState, entry: TargetEntry): Int =
        state.requests.values.count { (it.phase as? InFlight)?.entry?.isSameProcess(entry) == true }
}
