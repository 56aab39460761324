package org.cicadaarch.dispatch.request

import org.cicadaarch.dispatch.request.OpenRequest.Phase.Queued
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.dispatch.warmup.WarmUp
import org.cicadaarch.dispatch.warmup.WarmUpRules
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * The warm-up of targets in the state of the dispatch.
 */
internal object WarmUpChanges {
    /** The rules for the targets of [service] at [now]; null if it has no limit. */
    fun rules(state: DispatchState, settings: DispatchSettings, service: ServiceName, now: Timestamp): WarmUpRules? {
        val limit = state.services[service]?.warmUp ?: return null
        val requestsPerSecond = limit.requestsPerSecond * settings.warmUpOverrun + settings.warmUpSlack
        return WarmUpRules(limit, requestsPerSecond, state.routerSeed, now)
    }

    /** [target] with its entry seen at [now]; [before] is the target that was known by its id until then. */
    fun seen(target: TargetState, before: TargetState?, now: Timestamp): TargetState {
        val isSameProcess = before != null && before.entry.isSameProcess(target.entry)
        val warmUp = if (before != null && isSameProcess) {
            WarmUp.next(before.warmUp, before.entry, target.entry, now)
        } else {
            WarmUp.first(target.entry, now)
        }
        return target.copy(warmUp = warmUp)
    }

    /** [target] after a request was sent to it at [now]. */
    fun sent(target: TargetState, now: Timestamp): TargetState {
        val warmUp = target.warmUp?.takeIf { it.isActive(now) } ?: return target
        return target.copy(warmUp = warmUp.withSent(now))
    }

    /** The state after the evacuation of [zones] ended at [now]: their targets are used again step by step. */
    fun evacuationsEnded(state: DispatchState, zones: Set<ZoneName>, now: Timestamp): DispatchState {
        if (zones.isEmpty()) return state
        val targets = state.targets.builder()
        state.targets.values
            .filter { it.entry.zone in zones && state.services[it.entry.service]?.warmUp != null }
            .forEach { targets[it.entry.id] = it.copy(warmUp = WarmUp.afterEvacuation(it.warmUp, now)) }
        return state.copy(targets = targets.build())
    }

    /** When a queued request may next be sent to a target that warms up, or to one that has warmed up. */
    fun nextChance(state: DispatchState, settings: DispatchSettings, now: Timestamp): Timestamp? {
        if (state.services.values.all { it.warmUp == null }) return null
        val waiting = state.requests.values.filter { it.phase is Queued }.mapTo(HashSet()) { it.request.service }
        return waiting.mapNotNull { nextChance(state, settings, it, now) }.minOrNull()
    }

    private fun nextChance(
        state: DispatchState,
        settings: DispatchSettings,
        service: ServiceName,
        now: Timestamp,
    ): Timestamp? {
        val rules = rules(state, settings, service, now) ?: return null
        return state.targets.values
            .filter { it.entry.service == service && rules.isWarmingUp(it) }
            .mapNotNull { rules.nextChance(it) }
            .minOrNull()
    }
}
