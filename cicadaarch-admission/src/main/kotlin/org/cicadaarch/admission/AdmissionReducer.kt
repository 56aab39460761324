package org.cicadaarch.admission

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionMessage.ChatPlaced
import org.cicadaarch.admission.AdmissionMessage.GroupLoadReported
import org.cicadaarch.admission.AdmissionMessage.PermitRefused
import org.cicadaarch.admission.AdmissionMessage.PermitReleased
import org.cicadaarch.admission.AdmissionMessage.PermitRequest
import org.cicadaarch.admission.AdmissionMessage.PermitsHandedOver
import org.cicadaarch.admission.AdmissionMessage.PermitsRenewed
import org.cicadaarch.admission.AdmissionMessage.TargetCountsReported
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target

/**
 * Runs the admission of requests to targets. Each target has one admission owner among the live routers, which grants
 * permits to run requests on it, queues requests, or redirects them to other targets. For some load groups, the router
 * is also the load aggregator: it adds up the counts of the owners and reports the total to them.
 */
class AdmissionReducer(private val settings: AdmissionSettings = AdmissionSettings()) {
    private val admission = TargetAdmission(settings)

    constructor(permitLease: Duration) : this(AdmissionSettings(permitLease = permitLease))

    /** Returns the new state and the messages to send after [event] at [now]. */
    fun reduce(state: AdmissionState, event: AdmissionEvent, now: Timestamp): Step<AdmissionState, AdmissionEffect> {
        val current = withOwnership(state, now)
        return when (event) {
            is AdmissionEvent.Received -> received(current, event.from, event.message, now)
            is AdmissionEvent.RoutersChanged -> routersChanged(current, event.view, now)
            is AdmissionEvent.FleetChanged -> fleetChanged(current, event.fleet, now)
            is AdmissionEvent.LoadReported -> loadReported(current, event, now)
            AdmissionEvent.Tick -> ticked(current, now)
        }
    }

    private fun received(
        state: AdmissionState,
        from: RouterId,
        message: AdmissionMessage,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> = when (message) {
        is PermitRequest -> requested(state, from, message, now)

        is PermitReleased -> released(state, message, now)

        is PermitsRenewed -> updateTarget(state, message.target) { targetState, _ ->
            Step(admission.renewPermits(targetState, message.permits.map { HandedOverPermit(from, it) }, now))
        }

        is PermitsHandedOver -> updateTarget(state, message.target) { targetState, _ ->
            Step(admission.renewPermits(targetState, message.permits, now))
        }

        is ChatPlaced -> updateTarget(state, message.home) { targetState, _ ->
            val chat = ChatKey(message.account, message.chat)
            val locations = targetState.chatLocations.put(chat, message.placedOn, settings.rememberedChats)
            Step(targetState.copy(chatLocations = locations))
        }

        is TargetCountsReported -> targetCountsReported(state, from, message, now)

        is GroupLoadReported -> groupLoadReported(state, message, now)

        else -> Step(state)
    }

    private fun requested(
        state: AdmissionState,
        from: RouterId,
        request: PermitRequest,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val target = state.fleet?.targets?.get(request.target)
        val refusal = when {
            target == null || target.leaving -> PermitRefusal.TARGET_GONE
            request.target !in state.targets -> PermitRefusal.NOT_OWNER
            else -> null
        }
        if (refusal != null) {
            return Step(
                state,
                listOf(AdmissionEffect.Send(from, PermitRefused(request.attempt, request.target, refusal))),
            )
        }
        return updateTarget(state, request.target) { targetState, context ->
            admission.requestPermit(targetState, context, from, request, now)
        }
    }

    private fun released(
        state: AdmissionState,
        message: PermitReleased,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        if (message.target in state.targets) {
            return updateTarget(state, message.target) { targetState, context ->
                admission.releasePermit(targetState, context, message, now)
            }
        }
        val owner = TargetOwnership.ownerOf(message.target, state.view)
        if (message.forwarded || owner == null || owner == state.view.self) return Step(state)
        return Step(state, listOf(AdmissionEffect.Send(owner, message.copy(forwarded = true))))
    }

    private fun loadReported(
        state: AdmissionState,
        report: AdmissionEvent.LoadReported,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> = updateTarget(state, report.target) { targetState, context ->
        admission.updateUnaccounted(targetState, context, report.running + report.waiting, now)
    }

    private fun targetCountsReported(
        state: AdmissionState,
        from: RouterId,
        message: TargetCountsReported,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val targets = state.fleet?.targets.orEmpty()
        val table = message.counts.fold(state.aggregates[message.group] ?: GroupLoadTable()) { updated, count ->
            targets[count.target]?.let { updated.plus(count, it.capacity, now) } ?: updated
        }
        val response = GroupLoadReported(message.group, table.total, table.capacity, table.targetsWithFreeSlots())
        return Step(
            state.copy(aggregates = state.aggregates.put(message.group, table)),
            listOf(AdmissionEffect.Send(from, response)),
        )
    }

    private fun groupLoadReported(
        state: AdmissionState,
        message: GroupLoadReported,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val previous = state.groupLoads[message.group]
        if (previous != null && isPartial(message, previous, now)) return Step(state)
        val groupLoad = GroupLoad(message.total, message.capacity, message.targetsWithFreeSlots, now)
        val updated = state.copy(groupLoads = state.groupLoads.put(message.group, groupLoad))
        return updateTargets(updated) { targetState, context ->
            if (context.group == message.group) admission.rebalance(targetState, context, now) else Step(targetState)
        }
    }

    /**
     * Whether [message] comes from a new aggregator that has not received the counts of most owners yet, so that its
     * total is too low.
     */
    private fun isPartial(message: GroupLoadReported, previous: GroupLoad, now: Timestamp): Boolean =
        message.capacity < previous.capacity * COMPLETE_CAPACITY_RATIO &&
            now - previous.receivedAt < COUNT_REPEAT_INTERVAL + COUNT_INTERVAL

    private fun ticked(state: AdmissionState, now: Timestamp): Step<AdmissionState, AdmissionEffect> {
        val (served, effects) = updateTargets(state) { targetState, context ->
            admission.tick(targetState, context, now)
        }
        val (counted, counts) = sendCounts(served, now)
        val aggregates = counted.aggregates.entries.fold(counted.aggregates) { remaining, (group, table) ->
            val current = table.withoutExpired(now)
            if (current.total == 0 && current.capacity == 0) remaining.remove(group) else remaining.put(group, current)
        }
        return Step(counted.copy(aggregates = aggregates), effects + counts)
    }

    private fun sendCounts(state: AdmissionState, now: Timestamp): Step<AdmissionState, AdmissionEffect> {
        val due = state.targets
            .filter { (id, targetState) -> isCountDue(targetState, state.fleet?.targets?.get(id), now) }
            .keys
        val fleet = state.fleet
        if (due.isEmpty() || fleet == null) return Step(state)
        val groups = due.groupBy { OwnedTargets.groupOf(fleet.targets.getValue(it), fleet) }
        val updated = due.fold(state) { current, target ->
            val targetState = current.targets.getValue(target)
            val counted = targetState.copy(
                sentCount = countOf(target, targetState),
                countSentAt = now,
                hasDeferredRequest = false,
            )
            current.copy(targets = current.targets.put(target, counted))
        }
        val effects = groups.mapNotNull { (group, targets) ->
            LoadAggregation.aggregatorOf(group, state.view)?.let { aggregator ->
                val counts = targets.map { checkNotNull(updated.targets.getValue(it).sentCount) }
                AdmissionEffect.Send(aggregator, TargetCountsReported(group, counts))
            }
        }
        return Step(updated, effects)
    }

    /**
     * Whether to send the count of a target to the aggregator: at once if it changed much, if the target has free slots
     * again, if a request was deferred or if requests are queued; otherwise after [COUNT_INTERVAL] if it changed, and
     * after [COUNT_REPEAT_INTERVAL] in any case, so that the aggregator keeps it.
     */
    private fun isCountDue(targetState: TargetAdmissionState, target: Target?, now: Timestamp): Boolean {
        val sentAt = targetState.countSentAt ?: return true
        val sent = targetState.sentCount ?: return true
        val change = abs(targetState.load - sent.inFlight) + abs(targetState.queue.size - sent.queued)
        val isLarge = change > maxOf(1, sent.inFlight / LARGE_CHANGE_DIVISOR)
        return when {
            now - sentAt >= COUNT_REPEAT_INTERVAL -> true

            now - sentAt >= COUNT_INTERVAL -> change > 0 || targetState.hasDeferredRequest

            else ->
                isLarge || hasFreeSlotsAgain(targetState, sent, target) || targetState.hasDeferredRequest ||
                    !targetState.queue.isEmpty
        }
    }

    /** Whether a target that was last reported as full has free slots, to which queued requests can be redirected. */
    private fun hasFreeSlotsAgain(targetState: TargetAdmissionState, sent: TargetCount, target: Target?): Boolean {
        val capacity = target?.capacity ?: return false
        return sent.inFlight + sent.queued >= capacity && targetState.load + targetState.queue.size < capacity
    }

    private fun countOf(target: TargetId, targetState: TargetAdmissionState) =
        TargetCount(target, targetState.load, targetState.queue.size)

    private fun routersChanged(
        state: AdmissionState,
        view: RouterView,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val owned = OwnedTargets.of(view, state.fleet)
        val lost = state.targets.keys.filter { it !in owned.targets }
        val effects = lost.flatMap { handOver(it, state, view) }
        val kept = lost.fold(state.targets) { targets, target -> targets.remove(target) }
        val next = state.copy(view = view, owned = owned, targets = kept)
        return Step(withNewTargets(next, owned, estimate = true, now), effects)
    }

    private fun handOver(target: TargetId, state: AdmissionState, view: RouterView): List<AdmissionEffect> {
        val targetState = state.targets.getValue(target)
        val refusals = targetState.queue.entries.values.map {
            AdmissionEffect.Send(it.ingress, PermitRefused(it.attempt, target, PermitRefusal.NOT_OWNER))
        }
        val owner = TargetOwnership.ownerOf(target, view)
        if (owner == null || owner == view.self || targetState.permits.isEmpty()) return refusals
        val permits = targetState.permits.map { (attempt, permit) ->
            HandedOverPermit(permit.holder, HeldPermit(attempt, permit.demand))
        }
        return refusals + AdmissionEffect.Send(owner, PermitsHandedOver(target, permits))
    }

    private fun fleetChanged(
        state: AdmissionState,
        fleet: FleetDocument,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val owned = OwnedTargets.of(state.view, fleet)
        val removed = state.targets.keys.filter { it !in fleet.targets || fleet.targets.getValue(it).leaving }
        val refusals = removed.flatMap { target ->
            updateTarget(state, target) { targetState, context ->
                admission.refuseAll(targetState, context, PermitRefusal.TARGET_GONE)
            }.effects
        }
        val remaining = removed.fold(state.targets) { targets, target ->
            if (target in fleet.targets) {
                targets.put(target, targets.getValue(target).copy(queue = FairQueue()))
            } else {
                targets.remove(target)
            }
        }
        val next = state.copy(fleet = fleet, owned = owned, targets = remaining)
        return Step(withNewTargets(next, owned, estimate = state.fleet == null, now), refusals)
    }

    /** Recomputes the owned targets if [state] has none, or has those of another view or fleet document. */
    private fun withOwnership(state: AdmissionState, now: Timestamp): AdmissionState {
        if (state.owned != null && state.owned.isComputedFrom(state.view, state.fleet)) return state
        val owned = OwnedTargets.of(state.view, state.fleet)
        return withNewTargets(state.copy(owned = owned), owned, estimate = false, now)
    }

    /**
     * Adds the state of newly owned targets. With [estimate], another router may have owned them before, so each one
     * starts with an estimate of the requests that it already runs.
     */
    private fun withNewTargets(
        state: AdmissionState,
        owned: OwnedTargets,
        estimate: Boolean,
        now: Timestamp,
    ): AdmissionState = owned.targets.filter { it !in state.targets }.fold(state) { updated, target ->
        val unaccounted = if (estimate) estimatedLoad(updated, target) else 0
        val targetState =
            TargetAdmissionState(ownedSince = now, unaccounted = unaccounted, isUnaccountedEstimated = estimate)
        updated.copy(targets = updated.targets.put(target, targetState))
    }

    /** The share of the group's load that falls to [target], or half of its capacity if the load is unknown. */
    private fun estimatedLoad(state: AdmissionState, target: TargetId): Int {
        val fleet = checkNotNull(state.fleet) { "cannot estimate the load of $target without a fleet document" }
        val capacity = fleet.targets.getValue(target).capacity
        val groupLoad = state.groupLoads[OwnedTargets.groupOf(fleet.targets.getValue(target), fleet)]
        return if (groupLoad == null || groupLoad.capacity == 0) {
            capacity / 2
        } else {
            groupLoad.total * capacity / groupLoad.capacity
        }
    }

    private fun updateTargets(
        state: AdmissionState,
        update: (TargetAdmissionState, TargetContext) -> Step<TargetAdmissionState, AdmissionEffect>,
    ): Step<AdmissionState, AdmissionEffect> {
        val start = Step<AdmissionState, AdmissionEffect>(state)
        return state.targets.keys.fold(start) { step, target ->
            val (next, effects) = updateTarget(step.state, target, update)
            Step(next, step.effects + effects)
        }
    }

    private fun updateTarget(
        state: AdmissionState,
        id: TargetId,
        update: (TargetAdmissionState, TargetContext) -> Step<TargetAdmissionState, AdmissionEffect>,
    ): Step<AdmissionState, AdmissionEffect> {
        val targetState = state.targets[id]
        val fleet = state.fleet
        val target = fleet?.targets?.get(id)
        if (targetState == null || target == null) return Step(state)
        val group = OwnedTargets.groupOf(target, fleet)
        val size = state.owned?.groups?.get(group) ?: OwnedTargets.GroupSize(1, target.capacity)
        val context = TargetContext(id, target, group, size, state.groupLoads[group], fleet)
        val (next, effects) = update(targetState, context)
        return Step(if (next === targetState) state else state.copy(targets = state.targets.put(id, next)), effects)
    }

    private companion object {
        val COUNT_INTERVAL = 500.milliseconds
        val COUNT_REPEAT_INTERVAL = 2.seconds
        const val LARGE_CHANGE_DIVISOR = 10
        const val COMPLETE_CAPACITY_RATIO = 0.9
    }
}
