package org.cicadaarch.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.admission.AdmissionEvent
import org.cicadaarch.admission.AdmissionState
import org.cicadaarch.configuration.dissemination.ConfigurationEvent
import org.cicadaarch.ledger.ClaimantEvent
import org.cicadaarch.ledger.ClaimantState
import org.cicadaarch.ledger.LedgerEvent
import org.cicadaarch.ledger.LedgerState
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.membership.MembershipState
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.orders.OrdersEvent
import org.cicadaarch.orders.OrdersState
import org.cicadaarch.quota.QuotaEvent
import org.cicadaarch.quota.QuotaState
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.request.IngressState

/**
 * Handles all events of a router. It passes each event to the roles that it concerns and delivers messages between
 * roles of the same router without the network.
 */
class RouterReducer(private val roles: RoleReducers = RoleReducers()) {
    /**
     * Returns the state of a router that starts as [self] and knows no other router.
     *
     * [now] is the monotonic time of the start and [epochSeconds] the wall-clock time.
     */
    fun initial(self: RouterInfo, now: Timestamp, epochSeconds: Long): RouterState {
        val view = RouterView(self.id, mapOf(self.id to self))
        return RouterState(
            view = view,
            membership = MembershipState.initial(self, now),
            configuration = roles.configuration.initial(view, now),
            ledger = LedgerState(view = view, epochSeconds = epochSeconds, tickedAt = now),
            claimant = ClaimantState(view = view),
            ingress = IngressState(view = view),
            admission = AdmissionState(view = view, fleet = null),
            quota = QuotaState(view = view, fleet = null),
            orders = OrdersState(view = view),
        )
    }

    /** Returns the state after [event] at [now] and the effects to carry out. */
    fun reduce(state: RouterState, event: RouterEvent, now: Timestamp): Step<RouterState, RouterEffect> {
        val transition = RouterTransition(roles, state, now)
        when (event) {
            is RouterEvent.Ingress -> transition.onIngressEvent(event.event)

            is RouterEvent.PeerMessageReceived -> transition.onPeerMessage(event.from, event.message)

            is RouterEvent.Membership -> transition.reduceMembership(event.event)

            is RouterEvent.Configuration -> transition.reduceConfiguration(event.event)

            is RouterEvent.Orders -> transition.reduceOrders(event.event)

            is RouterEvent.RoutersChanged -> transition.onRoutersChanged(event.view)

            is RouterEvent.FleetChanged -> transition.onFleetChanged(event.revision, event.fleet)

            is RouterEvent.PeerUnreachable -> transition.reduceIngress(IngressEvent.RouterUnreachable(event.router))

            is RouterEvent.LoadReported -> transition.reduceAdmission(
                AdmissionEvent.LoadReported(event.target, event.running, event.waiting),
            )

            is RouterEvent.StoreCallCompleted -> transition.onStoreCallCompleted(event.token, event.result)

            is RouterEvent.LedgerTick -> transition.reduceLedger(LedgerEvent.Tick(event.epochSeconds))

            RouterEvent.Tick -> tick(transition)
        }
        return transition.step()
    }

    private fun tick(transition: RouterTransition) {
        transition.reduceMembership(MembershipEvent.Tick)
        transition.reduceConfiguration(ConfigurationEvent.Tick)
        transition.reduceClaimant(ClaimantEvent.Tick)
        transition.reduceQuota(QuotaEvent.Tick)
        transition.retryQuotaLimited()
        transition.reduceAdmission(AdmissionEvent.Tick)
        transition.reduceIngress(IngressEvent.Tick)
        transition.reduceOrders(OrdersEvent.Tick)
    }

    companion object {
        /** The interval of [RouterEvent.Tick]. */
        val TICK_INTERVAL: Duration = 100.milliseconds

        /** The interval of [RouterEvent.LedgerTick]. */
        val LEDGER_TICK_INTERVAL: Duration = 20.milliseconds
    }
}
