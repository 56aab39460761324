package org.cicadaarch.orders

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Brings model engines into the active preset's states, one holder per group of engines.
 *
 * Everything is started by ticks, so a process that was paused looks at its clock before it sends anything.
 */
class OrdersReducer(settings: OrdersSettings = OrdersSettings()) {
    private val leases = LeaseKeeping(settings)
    private val engines = EngineOrders(settings)

    /** The state and the effects after [event] at [now]. */
    fun reduce(state: OrdersState, event: OrdersEvent, now: Timestamp): Step<OrdersState, OrdersEffect> = when (event) {
        is OrdersEvent.StoreCallCompleted -> onGroup(state, event.token.group) {
            leases.answered(it, event.token.number, event.result, now)
        }

        is OrdersEvent.EngineStateRead -> onGroup(state, event.token.group) { group ->
            engines.stateRead(group, event, state.fleet?.preset?.wantedStates?.get(event.target), now)
        }

        is OrdersEvent.OrderCompleted -> onGroup(state, event.token.group) { engines.orderAnswered(it, event, now) }

        is OrdersEvent.RoutersChanged -> Step(state.copy(view = event.view))

        is OrdersEvent.FleetChanged -> Step(state.copy(fleet = event.fleet))

        OrdersEvent.Tick -> state.fleet?.let { ticked(state, it, now) } ?: Step(state)
    }

    private fun ticked(state: OrdersState, fleet: FleetDocument, now: Timestamp): Step<OrdersState, OrdersEffect> {
        val groups = OrderGroup.allIn(fleet)
        return (groups + state.groups.keys).fold(Step(state)) { step, group ->
            val isOurs = group in groups && group.holderIn(state.view) == state.view.self
            val next = ticked(step.state, group, fleet.takeIf { isOurs }, now)
            Step(next.state, step.effects + next.effects)
        }
    }

    private fun ticked(
        state: OrdersState,
        group: OrderGroup,
        fleet: FleetDocument?,
        now: Timestamp,
    ): Step<OrdersState, OrdersEffect> {
        if (fleet == null) return onGroup(state, group) { leases.given(it, now) }
        val known = state.groups[group] ?: GroupState(group)
        return onGroup(state.copy(groups = state.groups.put(group, known)), group) { before ->
            val kept = leases.kept(before, now)
            val ordered = engines.ordered(kept.state, fleet, now)
            Step(ordered.state, kept.effects + ordered.effects)
        }
    }

    private fun onGroup(
        state: OrdersState,
        group: OrderGroup,
        change: (GroupState) -> Step<GroupState, OrdersEffect>,
    ): Step<OrdersState, OrdersEffect> {
        val known = state.groups[group] ?: return Step(state)
        val step = change(known)
        return Step(state.copy(groups = state.groups.put(group, step.state)), step.effects)
    }
}
