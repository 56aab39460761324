package org.cicadaarch.orders

import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState

/**
 * Reads engines' states and orders them into the wanted ones while the group's lease is valid.
 */
internal class EngineOrders(private val settings: OrdersSettings) {
    fun ordered(group: GroupState, fleet: FleetDocument, now: Timestamp): Step<GroupState, OrdersEffect> {
        val lease = group.lease ?: return Step(group)
        val fencing = lease.fencingToken ?: return Step(group)
        val heldAt = lease.heldAt ?: return Step(group)
        val sendBefore = lease.validUntil - settings.margin
        if (now >= sendBefore) return Step(group)
        return group.group.targetsIn(fleet).entries.fold(Step(group)) { step, (id, target) ->
            val wanted = fleet.preset.wantedStates[id]
            if (wanted == null || now < mayActFrom(target, heldAt)) return@fold step
            val next = advanced(step.state, id, wanted, Permission(fencing, sendBefore), now)
            Step(next.state, step.effects + next.effects)
        }
    }

    fun stateRead(
        group: GroupState,
        event: OrdersEvent.EngineStateRead,
        wanted: WantedState?,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val engine = engineOf(group, event.target, event.token) ?: return Step(group)
        val state = event.state ?: return Step(
            group.with(event.target, engine.copy(known = null, nextAt = now + settings.retryInterval)),
        )
        val isReached = wanted != null && state.serving == wanted
        val read = engine.copy(
            known = state,
            nextAt = now + if (isReached) settings.recheckInterval else settings.checkInterval,
            ordered = engine.ordered.takeUnless { isReached },
            loadingUntil = loadingUntil(engine, state, now),
        )
        val notices = if (isReached && engine.ordered != null) {
            listOf(OrdersEffect.Log(OrdersNotice.StateReached(event.target, state.serving)))
        } else {
            emptyList()
        }
        return Step(group.with(event.target, read), notices)
    }

    fun orderAnswered(
        group: GroupState,
        event: OrdersEvent.OrderCompleted,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val engine = engineOf(group, event.target, event.token) ?: return Step(group)
        val sentAt = group.engines.getValue(event.target).exchange?.sentAt ?: now
        val next = engine.copy(known = null)
        return when (event.result) {
            OrderResult.ACCEPTED -> Step(group.with(event.target, next.copy(nextAt = now + settings.checkInterval)))

            // The order may still arrive: a different one must not overtake it.
            OrderResult.UNANSWERED -> Step(group.with(event.target, next.copy(nextAt = sentAt + settings.longestOrder)))

            OrderResult.FAILED -> Step(
                group.with(
                    event.target,
                    next.copy(nextAt = now + settings.retryInterval, ordered = null, loadingUntil = null),
                ),
            )

            OrderResult.OLD_FENCING_NUMBER -> Step(
                group.withoutLease(retryAt = now + settings.retryInterval),
                listOf(OrdersEffect.Log(OrdersNotice.GroupLost(group.group, "a newer holder gave orders"))),
            )
        }
    }

    private data class Permission(val fencing: Long, val sendBefore: Timestamp)

    private fun mayActFrom(target: Target, heldAt: Timestamp): Timestamp =
        if (target.checksFencing) heldAt else heldAt + settings.quietTime

    private fun advanced(
        group: GroupState,
        target: TargetId,
        wanted: WantedState,
        permission: Permission,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val engine = group.engines[target] ?: EngineProgress(nextAt = now)
        val toOrder = engine.known?.takeIf { it.serving != wanted && !isLoading(engine, wanted, now) }
        return when {
            engine.exchange != null -> Step(group)
            toOrder != null && !mayLoad(group, target, now) && needsLoad(toOrder.serving, wanted) -> Step(group)
            toOrder != null -> ordered(group, target, wanted, permission, now)
            now < engine.nextAt -> Step(group)
            else -> read(group, target, engine, now)
        }
    }

    private fun isLoading(engine: EngineProgress, wanted: WantedState, now: Timestamp): Boolean =
        engine.loadingUntil?.let { now < it } == true && (engine.ordered == wanted || engine.known?.loading == wanted)

    private fun mayLoad(group: GroupState, target: TargetId, now: Timestamp): Boolean {
        val loading = group.engines.filterValues { engine -> engine.loadingUntil?.let { now < it } == true }.keys
        return (loading - target).size < settings.maximumLoads
    }

    private fun needsLoad(serving: WantedState?, wanted: WantedState): Boolean =
        serving?.copy(role = wanted.role) != wanted

    private fun ordered(
        group: GroupState,
        target: TargetId,
        wanted: WantedState,
        permission: Permission,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val number = group.numbers + 1
        val serving = group.engines[target]?.known?.serving
        val engine = EngineProgress(
            nextAt = now,
            exchange = EngineExchange(number, sentAt = now),
            ordered = wanted,
            loadingUntil = (now + settings.loadTime).takeIf { needsLoad(serving, wanted) },
        )
        val order = OrdersEffect.SendOrder(
            token = OrdersToken(group.group, number),
            target = target,
            state = wanted,
            fencingToken = permission.fencing,
            sendBefore = permission.sendBefore,
            timeLimit = settings.longestOrder,
        )
        val notice = OrdersNotice.OrderSent(target, wanted, permission.fencing)
        return Step(group.copy(numbers = number).with(target, engine), listOf(order, OrdersEffect.Log(notice)))
    }

    private fun read(
        group: GroupState,
        target: TargetId,
        engine: EngineProgress,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val number = group.numbers + 1
        val reading = engine.copy(exchange = EngineExchange(number, sentAt = now))
        return Step(
            group.copy(numbers = number).with(target, reading),
            listOf(OrdersEffect.ReadEngineState(OrdersToken(group.group, number), target, settings.longestOrder)),
        )
    }

    private fun loadingUntil(engine: EngineProgress, state: EngineState, now: Timestamp): Timestamp? = when {
        state.loading != null -> engine.loadingUntil ?: (now + settings.loadTime)
        state.serving == engine.ordered -> null
        else -> engine.loadingUntil
    }

    private fun engineOf(group: GroupState, target: TargetId, token: OrdersToken): EngineProgress? =
        group.engines[target]?.takeIf { it.exchange?.number == token.number }?.copy(exchange = null)

    private fun GroupState.with(target: TargetId, engine: EngineProgress): GroupState =
        copy(engines = engines.put(target, engine))
}
