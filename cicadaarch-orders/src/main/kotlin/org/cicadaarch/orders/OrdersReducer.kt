package org.cicadaarch.orders

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Brings model engines into the states that the active preset wants. One router, the holder of a lease in the store,
 * sends the orders of a group of engines.
 *
 * Only ticks start store calls, reads and orders, so that a process that was paused looks at its clock before it sends
 * anything.
 */
class OrdersReducer(settings: OrdersSettings = OrdersSettings()) {
    private val leases = LeaseManager(settings)
    private val engines = EngineReconciler(settings)

    /** Returns the state after [event] at [now] and the effects to carry out. */
    fun reduce(state: OrdersState, event: OrdersEvent, now: Timestamp): Step<OrdersState, OrdersEffect> = when (event) {
        is OrdersEvent.StoreCallCompleted -> updateGroup(state, event.token.group) {
            leases.onStoreCallCompleted(it, event.token.number, event.result, now)
        }

        is OrdersEvent.EngineStateRead -> updateGroup(state, event.token.group) { group ->
            engines.onStateRead(group, event, state.fleet?.preset?.wantedStates?.get(event.target), now)
        }

        is OrdersEvent.OrderCompleted -> updateGroup(state, event.token.group) {
            engines.onOrderCompleted(it, event, now)
        }

        is OrdersEvent.RoutersChanged -> Step(state.copy(view = event.view))

        is OrdersEvent.FleetChanged -> Step(state.copy(fleet = event.fleet))

        OrdersEvent.Tick -> state.fleet?.let { onTick(state, it, now) } ?: Step(state)
    }

    private fun onTick(state: OrdersState, fleet: FleetDocument, now: Timestamp): Step<OrdersState, OrdersEffect> {
        val groups = OrderGroup.allIn(fleet)
        return (groups + state.groups.keys).fold(Step(state)) { step, group ->
            val isOurs = group in groups && group.holderIn(state.view) == state.view.self
            val next = onGroupTick(step.state, group, fleet.takeIf { isOurs }, now)
            Step(next.state, step.effects + next.effects)
        }
    }

    /** Maintains [group]. If [fleet] is null, this router should not hold the group and releases it. */
    private fun onGroupTick(
        state: OrdersState,
        group: OrderGroup,
        fleet: FleetDocument?,
        now: Timestamp,
    ): Step<OrdersState, OrdersEffect> {
        if (fleet == null) return updateGroup(state, group) { leases.release(it, now) }
        val known = state.groups[group] ?: GroupState(group)
        return updateGroup(state.copy(groups = state.groups.put(group, known)), group) { before ->
            val maintained = leases.maintain(before, now)
            val reconciled = engines.reconcile(maintained.state, fleet, now)
            Step(reconciled.state, maintained.effects + reconciled.effects)
        }
    }

    private fun updateGroup(
        state: OrdersState,
        group: OrderGroup,
        update: (GroupState) -> Step<GroupState, OrdersEffect>,
    ): Step<OrdersState, OrdersEffect> {
        val known = state.groups[group] ?: return Step(state)
        val step = update(known)
        return Step(state.copy(groups = state.groups.put(group, step.state)), step.effects)
    }
}
