package org.cicadaarch.admission

import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionMessage.ChatPlaced
import org.cicadaarch.admission.AdmissionMessage.LoadCounted
import org.cicadaarch.admission.AdmissionMessage.LoadTotalled
import org.cicadaarch.admission.AdmissionMessage.PermitRefused
import org.cicadaarch.admission.AdmissionMessage.PermitReleased
import org.cicadaarch.admission.AdmissionMessage.PermitRequest
import org.cicadaarch.admission.AdmissionMessage.PermitsHandedOver
import org.cicadaarch.admission.AdmissionMessage.PermitsRenewed
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target

/**
 * Decides for the targets and load groups that this router is admission owner and load-mean aggregator of.
 */
class AdmissionReducer(private val settings: AdmissionSettings = AdmissionSettings()) {
    private val admission = TargetAdmission(settings)

    constructor(permitLease: Duration) : this(AdmissionSettings(permitLease = permitLease))

    /** The state and the answers after [event] at [now]. */
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

        is PermitsRenewed -> onTarget(state, message.target) { load, _ ->
            Step(admission.renewed(load, message.permits.map { HandedOverPermit(from, it) }, now))
        }

        is PermitsHandedOver -> onTarget(state, message.target) { load, _ ->
            Step(admission.renewed(load, message.permits, now))
        }

        is ChatPlaced -> onTarget(state, message.home) { load, _ ->
            val chat = ChatKey(message.account, message.chat)
            Step(load.copy(spills = load.spills.remember(chat, message.placedOn, settings.spillMemory)))
        }

        is LoadCounted -> loadCounted(state, from, message, now)

        is LoadTotalled -> loadTotalled(state, message, now)

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
        return onTarget(state, request.target) { load, context ->
            admission.requested(load, context, from, request, now)
        }
    }

    private fun released(
        state: AdmissionState,
        message: PermitReleased,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        if (message.target in state.targets) {
            return onTarget(state, message.target) { load, context -> admission.released(load, context, message, now) }
        }
        val owner = TargetOwnership.ownerOf(message.target, state.view)
        if (message.forwarded || owner == null || owner == state.view.self) return Step(state)
        return Step(state, listOf(AdmissionEffect.Send(owner, message.copy(forwarded = true))))
    }

    private fun loadReported(
        state: AdmissionState,
        report: AdmissionEvent.LoadReported,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> = onTarget(state, report.target) { load, context ->
        admission.reported(load, context, report.running + report.waiting, now)
    }

    private fun loadCounted(
        state: AdmissionState,
        from: RouterId,
        message: LoadCounted,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val targets = state.fleet?.targets.orEmpty()
        val loads = message.counts.fold(state.aggregates[message.group] ?: GroupLoads()) { left, count ->
            targets[count.target]?.let { left.plus(count, it.capacity, now) } ?: left
        }
        val answer = LoadTotalled(message.group, loads.total, loads.capacity, loads.roomy())
        return Step(
            state.copy(aggregates = state.aggregates.put(message.group, loads)),
            listOf(AdmissionEffect.Send(from, answer)),
        )
    }

    private fun loadTotalled(
        state: AdmissionState,
        message: LoadTotalled,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val before = state.means[message.group]
        if (before != null && isPartial(message, before, now)) return Step(state)
        val mean = GroupMean(message.total, message.capacity, message.roomy, now)
        val heard = state.copy(means = state.means.put(message.group, mean))
        return onTargets(heard) { load, context ->
            if (context.group == message.group) admission.rebalanced(load, context, now) else Step(load)
        }
    }

    /** Whether a new aggregator has not yet heard from most owners. */
    private fun isPartial(message: LoadTotalled, before: GroupMean, now: Timestamp): Boolean =
        message.capacity < before.capacity * PARTIAL && now - before.heardAt < REPEATED_AFTER + RECOUNTED_AFTER

    private fun ticked(state: AdmissionState, now: Timestamp): Step<AdmissionState, AdmissionEffect> {
        val (served, effects) = onTargets(state) { load, context -> admission.ticked(load, context, now) }
        val (counted, counts) = countsSent(served, now)
        val aggregates = counted.aggregates.entries.fold(counted.aggregates) { left, (group, loads) ->
            val live = loads.withoutLapsed(now)
            if (live.total == 0 && live.capacity == 0) left.remove(group) else left.put(group, live)
        }
        return Step(counted.copy(aggregates = aggregates), effects + counts)
    }

    private fun countsSent(state: AdmissionState, now: Timestamp): Step<AdmissionState, AdmissionEffect> {
        val due = state.targets.filter { (id, load) -> isCountDue(load, state.fleet?.targets?.get(id), now) }.keys
        val fleet = state.fleet
        if (due.isEmpty() || fleet == null) return Step(state)
        val groups = due.groupBy { OwnedTargets.groupOf(fleet.targets.getValue(it), fleet) }
        val sent = due.fold(state) { left, target ->
            val load = left.targets.getValue(target)
            val counted = load.copy(reported = countOf(target, load), reportedAt = now, blocked = false)
            left.copy(targets = left.targets.put(target, counted))
        }
        val effects = groups.mapNotNull { (group, targets) ->
            LoadAggregation.aggregatorOf(group, state.view)?.let { aggregator ->
                val counts = targets.map { checkNotNull(sent.targets.getValue(it).reported) }
                AdmissionEffect.Send(aggregator, LoadCounted(group, counts))
            }
        }
        return Step(sent, effects)
    }

    private fun isCountDue(load: TargetLoad, target: Target?, now: Timestamp): Boolean {
        val sentAt = load.reportedAt ?: return true
        val sent = load.reported ?: return true
        val change = abs(load.carried - sent.inFlight) + abs(load.queue.size - sent.queued)
        val large = change > maxOf(1, sent.inFlight / LARGE_CHANGE)
        return when {
            now - sentAt >= REPEATED_AFTER -> true
            now - sentAt >= RECOUNTED_AFTER -> change > 0 || load.blocked
            else -> large || hasRoomAgain(load, sent, target) || load.blocked || !load.queue.isEmpty
        }
    }

    /** Whether a target that was counted as full has free slots, for which requests may wait elsewhere. */
    private fun hasRoomAgain(load: TargetLoad, sent: TargetCount, target: Target?): Boolean {
        val capacity = target?.capacity ?: return false
        return sent.inFlight + sent.queued >= capacity && load.carried + load.queue.size < capacity
    }

    private fun countOf(target: TargetId, load: TargetLoad) = TargetCount(target, load.carried, load.queue.size)

    private fun routersChanged(
        state: AdmissionState,
        view: RouterView,
        now: Timestamp,
    ): Step<AdmissionState, AdmissionEffect> {
        val owned = OwnedTargets.of(view, state.fleet)
        val lost = state.targets.keys.filter { it !in owned.targets }
        val effects = lost.flatMap { handOver(it, state, view) }
        val kept = lost.fold(state.targets) { left, target -> left.remove(target) }
        val next = state.copy(view = view, owned = owned, targets = kept)
        return Step(withGained(next, owned, presume = true, now), effects)
    }

    private fun handOver(target: TargetId, state: AdmissionState, view: RouterView): List<AdmissionEffect> {
        val load = state.targets.getValue(target)
        val refusals = load.queue.entries.values.map {
            AdmissionEffect.Send(it.holder, PermitRefused(it.attempt, target, PermitRefusal.NOT_OWNER))
        }
        val owner = TargetOwnership.ownerOf(target, view)
        if (owner == null || owner == view.self || load.permits.isEmpty()) return refusals
        val permits = load.permits.map { (attempt, permit) ->
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
        val gone = state.targets.keys.filter { it !in fleet.targets || fleet.targets.getValue(it).leaving }
        val refused = gone.flatMap { target ->
            onTarget(state, target) { load, context ->
                admission.refuseAll(load, context, PermitRefusal.TARGET_GONE)
            }.effects
        }
        val left = gone.fold(state.targets) { targets, target ->
            if (target in fleet.targets) {
                targets.put(target, targets.getValue(target).copy(queue = FairQueue()))
            } else {
                targets.remove(target)
            }
        }
        val next = state.copy(fleet = fleet, owned = owned, targets = left)
        return Step(withGained(next, owned, presume = state.fleet == null, now), refused)
    }

    private fun withOwnership(state: AdmissionState, now: Timestamp): AdmissionState {
        if (state.owned != null && state.owned.isOf(state.view, state.fleet)) return state
        val owned = OwnedTargets.of(state.view, state.fleet)
        return withGained(state.copy(owned = owned), owned, presume = false, now)
    }

    /** Begins to own targets; with [presume], one that another router owned is presumed to carry work already. */
    private fun withGained(
        state: AdmissionState,
        owned: OwnedTargets,
        presume: Boolean,
        now: Timestamp,
    ): AdmissionState = owned.targets.filter { it !in state.targets }.fold(state) { left, target ->
        val foreign = if (presume) presumedLoad(left, target) else 0
        val load = TargetLoad(ownedSince = now, foreign = foreign, presumed = presume)
        left.copy(targets = left.targets.put(target, load))
    }

    private fun presumedLoad(state: AdmissionState, target: TargetId): Int {
        val fleet = checkNotNull(state.fleet) { "targets are owned only with a fleet document" }
        val capacity = fleet.targets.getValue(target).capacity
        val mean = state.means[OwnedTargets.groupOf(fleet.targets.getValue(target), fleet)]
        return if (mean == null || mean.capacity == 0) capacity / 2 else mean.total * capacity / mean.capacity
    }

    private fun onTargets(
        state: AdmissionState,
        decide: (TargetLoad, TargetContext) -> Step<TargetLoad, AdmissionEffect>,
    ): Step<AdmissionState, AdmissionEffect> {
        val start = Step<AdmissionState, AdmissionEffect>(state)
        return state.targets.keys.fold(start) { step, target ->
            val (next, effects) = onTarget(step.state, target, decide)
            Step(next, step.effects + effects)
        }
    }

    private fun onTarget(
        state: AdmissionState,
        id: TargetId,
        decide: (TargetLoad, TargetContext) -> Step<TargetLoad, AdmissionEffect>,
    ): Step<AdmissionState, AdmissionEffect> {
        val load = state.targets[id]
        val fleet = state.fleet
        val target = fleet?.targets?.get(id)
        if (load == null || target == null) return Step(state)
        val group = OwnedTargets.groupOf(target, fleet)
        val size = state.owned?.groups?.get(group) ?: OwnedTargets.GroupSize(1, target.capacity)
        val context = TargetContext(id, target, group, size, state.means[group], fleet)
        val (next, effects) = decide(load, context)
        return Step(if (next === load) state else state.copy(targets = state.targets.put(id, next)), effects)
    }

    private companion object {
        val RECOUNTED_AFTER = 500.milliseconds
        val REPEATED_AFTER = 2.seconds
        const val LARGE_CHANGE = 10
        const val PARTIAL = 0.9
    }
}
