package org.cicadaarch.orders

import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState

/**
 * Reads the states of a group's engines and orders engines into their wanted states while the group's lease is valid.
 */
internal class EngineReconciler(private val settings: OrdersSettings) {
    fun reconcile(group: GroupState, fleet: FleetDocument, now: Timestamp): Step<GroupState, OrdersEffect> {
        val lease = group.lease ?: return Step(group)
        val fencingToken = lease.fencingToken ?: return Step(group)
        val acquiredAt = lease.acquiredAt ?: return Step(group)
        val sendBefore = lease.validUntil - settings.safetyMargin
        if (now >= sendBefore) return Step(group)
        return group.group.targetsIn(fleet).entries.fold(Step(group)) { step, (id, target) ->
            val wanted = fleet.preset.wantedStates[id]
            if (wanted == null || now < earliestCallAt(target, acquiredAt)) return@fold step
            val next = reconcileEngine(step.state, id, wanted, OrderAuthority(fencingToken, sendBefore), now)
            Step(next.state, step.effects + next.effects)
        }
    }

    fun onStateRead(
        group: GroupState,
        event: OrdersEvent.EngineStateRead,
        wanted: WantedState?,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val engine = completeCall(group, event.target, event.token) ?: return Step(group)
        val state = event.state ?: return Step(
            group.with(event.target, engine.copy(reportedState = null, nextReadAt = now + settings.retryInterval)),
        )
        val isReached = wanted != null && state.serving == wanted
        val updated = engine.copy(
            reportedState = state,
            nextReadAt = now + if (isReached) settings.recheckInterval else settings.checkInterval,
            orderedState = engine.orderedState.takeUnless { isReached },
            loadingUntil = loadingUntil(engine, state, now),
        )
        val notices = if (isReached && engine.orderedState != null) {
            listOf(OrdersEffect.Log(OrdersNotice.StateReached(event.target, state.serving)))
        } else {
            emptyList()
        }
        return Step(group.with(event.target, updated), notices)
    }

    fun onOrderCompleted(
        group: GroupState,
        event: OrdersEvent.OrderCompleted,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val engine = completeCall(group, event.target, event.token) ?: return Step(group)
        val sentAt = group.engines.getValue(event.target).pendingCall?.sentAt ?: now
        val next = engine.copy(reportedState = null)
        return when (event.result) {
            OrderResult.ACCEPTED -> Step(group.with(event.target, next.copy(nextReadAt = now + settings.checkInterval)))

            // The order may still reach the engine until its timeout: a different one sent before could overtake it.
            OrderResult.UNANSWERED -> Step(
                group.with(event.target, next.copy(nextReadAt = sentAt + settings.orderTimeout)),
            )

            OrderResult.FAILED -> Step(
                group.with(
                    event.target,
                    next.copy(nextReadAt = now + settings.retryInterval, orderedState = null, loadingUntil = null),
                ),
            )

            OrderResult.OLD_FENCING_NUMBER -> Step(
                group.withoutLease(retryAt = now + settings.retryInterval),
                listOf(OrdersEffect.Log(OrdersNotice.GroupLost(group.group, "engine has seen a newer fencing token"))),
            )
        }
    }

    private data class OrderAuthority(val fencingToken: Long, val sendBefore: Timestamp)

    private fun earliestCallAt(target: Target, acquiredAt: Timestamp): Timestamp =
        if (target.checksFencing) acquiredAt else acquiredAt + settings.takeoverDelay

    private fun reconcileEngine(
        group: GroupState,
        target: TargetId,
        wanted: WantedState,
        authority: OrderAuthority,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val engine = group.engines[target] ?: TrackedEngine(nextReadAt = now)
        val outdated = engine.reportedState?.takeIf { it.serving != wanted && !isLoading(engine, wanted, now) }
        return when {
            engine.pendingCall != null -> Step(group)
            outdated != null && !hasLoadSlot(group, target, now) && needsLoad(outdated.serving, wanted) -> Step(group)
            outdated != null -> sendOrder(group, target, wanted, authority, now)
            now < engine.nextReadAt -> Step(group)
            else -> readState(group, target, engine, now)
        }
    }

    private fun isLoading(engine: TrackedEngine, wanted: WantedState, now: Timestamp): Boolean =
        engine.loadingUntil?.let { now < it } == true &&
            (engine.orderedState == wanted || engine.reportedState?.loading == wanted)

    private fun hasLoadSlot(group: GroupState, target: TargetId, now: Timestamp): Boolean {
        val loading = group.engines.filterValues { engine -> engine.loadingUntil?.let { now < it } == true }.keys
        return (loading - target).size < settings.maximumLoads
    }

    /** Whether the engine must load weights: a change of the role alone needs none. */
    private fun needsLoad(serving: WantedState?, wanted: WantedState): Boolean =
        serving?.copy(role = wanted.role) != wanted

    private fun sendOrder(
        group: GroupState,
        target: TargetId,
        wanted: WantedState,
        authority: OrderAuthority,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val number = group.lastNumber + 1
        val serving = group.engines[target]?.reportedState?.serving
        val engine = TrackedEngine(
            nextReadAt = now,
            pendingCall = EngineCall(number, sentAt = now),
            orderedState = wanted,
            loadingUntil = (now + settings.loadTime).takeIf { needsLoad(serving, wanted) },
        )
        val order = OrdersEffect.SendOrder(
            token = OrdersToken(group.group, number),
            target = target,
            state = wanted,
            fencingToken = authority.fencingToken,
            sendBefore = authority.sendBefore,
            timeLimit = settings.orderTimeout,
        )
        val notice = OrdersNotice.OrderSent(target, wanted, authority.fencingToken)
        return Step(group.copy(lastNumber = number).with(target, engine), listOf(order, OrdersEffect.Log(notice)))
    }

    private fun readState(
        group: GroupState,
        target: TargetId,
        engine: TrackedEngine,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val number = group.lastNumber + 1
        val updated = engine.copy(pendingCall = EngineCall(number, sentAt = now))
        return Step(
            group.copy(lastNumber = number).with(target, updated),
            listOf(OrdersEffect.ReadEngineState(OrdersToken(group.group, number), target, settings.orderTimeout)),
        )
    }

    private fun loadingUntil(engine: TrackedEngine, state: EngineState, now: Timestamp): Timestamp? = when {
        state.loading != null -> engine.loadingUntil ?: (now + settings.loadTime)
        state.serving == engine.orderedState -> null
        else -> engine.loadingUntil
    }

    /** The engine without the pending call of [token], or null when that call is not the pending one. */
    private fun completeCall(group: GroupState, target: TargetId, token: OrdersToken): TrackedEngine? =
        group.engines[target]?.takeIf { it.pendingCall?.number == token.number }?.copy(pendingCall = null)

    private fun GroupState.with(target: TargetId, engine: TrackedEngine): GroupState =
        copy(engines = engines.put(target, engine))
}
