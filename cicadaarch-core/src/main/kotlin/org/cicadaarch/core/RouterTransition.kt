package org.cicadaarch.core

import org.cicadaarch.admission.AdmissionEvent
import org.cicadaarch.configuration.dissemination.ConfigurationEvent
import org.cicadaarch.ledger.ClaimantEvent
import org.cicadaarch.ledger.LedgerEvent
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.orders.OrdersEvent
import org.cicadaarch.quota.QuotaDecision
import org.cicadaarch.quota.QuotaEffect
import org.cicadaarch.quota.QuotaEvent
import org.cicadaarch.request.IngressEffect
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.request.RefusalReason

/**
 * Handles one event at [now]: updates the state and collects the effects while the event and the events that it causes
 * pass through the roles.
 */
internal class RouterTransition(
    private val roles: RoleReducers,
    private var state: RouterState,
    private val now: Timestamp,
) {
    private val effects = mutableListOf<RouterEffect>()
    private val effectHandler = RoleEffectHandler(transition = this)

    fun step(): Step<RouterState, RouterEffect> = Step(state, effects)

    fun onPeerMessage(from: RouterId, message: PeerMessage) {
        when (message) {
            is PeerMessage.ToAdmissionOwner -> reduceAdmission(AdmissionEvent.Received(from, message.message))

            is PeerMessage.ToIngress -> reduceIngress(IngressEvent.PermitAnswered(message.message))

            is PeerMessage.ToShardOwner -> reduceLedger(LedgerEvent.Received(from, message.message))

            is PeerMessage.ToClaimant -> reduceClaimant(ClaimantEvent.Received(from, message.message))

            is PeerMessage.ToQuota -> reduceQuota(QuotaEvent.Received(from, message.message))

            is PeerMessage.ToConfiguration -> reduceConfiguration(ConfigurationEvent.Received(from, message.message))

            is PeerMessage.CrashReported -> reduceIngress(
                IngressEvent.CrashReported(message.fingerprint, message.attempt),
            )

            is PeerMessage.Hello, is PeerMessage.Heartbeat -> Unit
        }
    }

    fun onRoutersChanged(view: RouterView) {
        state = state.copy(view = view)
        reduceAdmission(AdmissionEvent.RoutersChanged(view))
        reduceIngress(IngressEvent.RoutersChanged(view))
        reduceLedger(LedgerEvent.RoutersChanged(view))
        reduceClaimant(ClaimantEvent.RoutersChanged(view))
        reduceConfiguration(ConfigurationEvent.RoutersChanged(view))
        reduceQuota(QuotaEvent.RoutersChanged(view))
        reduceOrders(OrdersEvent.RoutersChanged(view))
    }

    fun onFleetChanged(revision: Revision, fleet: FleetDocument) {
        if (revision <= state.revision) return
        state = state.copy(revision = revision)
        reduceMembership(MembershipEvent.RevisionInstalled(revision))
        reduceAdmission(AdmissionEvent.FleetChanged(fleet))
        reduceIngress(IngressEvent.FleetChanged(fleet))
        reduceQuota(QuotaEvent.FleetChanged(fleet))
        reduceOrders(OrdersEvent.FleetChanged(fleet))
    }

    fun onStoreCallCompleted(token: StoreToken, result: StoreResult) {
        when (token) {
            is StoreToken.Ledger -> reduceLedger(LedgerEvent.StoreCallCompleted(token.token, result))

            is StoreToken.Configuration ->
                reduceConfiguration(ConfigurationEvent.StoreCallCompleted(token.callId, result))

            is StoreToken.Orders -> reduceOrders(OrdersEvent.StoreCallCompleted(token.token, result))
        }
    }

    /** Handles an event of the ingress role. A new request first has to pass the quota check of its account. */
    fun onIngressEvent(event: IngressEvent) {
        when {
            event is IngressEvent.RequestReceived -> checkQuota(event.head, arrivedAt = now)

            event is IngressEvent.ClientDisconnected && event.request in state.quotaLimited ->
                refuseQuotaLimited(event.request)

            else -> reduceIngress(event)
        }
    }

    /** Repeats the quota check of the waiting requests that are due. */
    fun retryQuotaLimited() =
        state.quotaLimited.values.filter { it.retryAt <= now }.forEach { checkQuota(it.head, it.arrivedAt) }

    /**
     * Passes a request to the ingress if the quota of its account admits it. Otherwise the request waits for the next
     * check, or is refused if that would come too late for its deadline.
     */
    private fun checkQuota(head: RequestHead, arrivedAt: Timestamp) {
        val tokens = head.promptTokens + head.outputTokens
        val decision = roles.quota.check(state.quota, head.account, tokens, now)
        val isAllowed = decision is QuotaDecision.Allowed
        val isFirstCheck = head.id !in state.quotaLimited
        if (isAllowed || isFirstCheck) {
            reduceQuota(QuotaEvent.RequestChecked(head.account, tokens, admitted = isAllowed))
        }
        when (decision) {
            is QuotaDecision.Allowed -> {
                state = state.copy(
                    accountByRequest = state.accountByRequest.put(head.id, head.account),
                    quotaLimited = state.quotaLimited.remove(head.id),
                )
                val waitTime = now - arrivedAt
                reduceIngress(IngressEvent.RequestReceived(head.copy(timeAllowed = head.timeAllowed - waitTime)))
            }

            is QuotaDecision.Limited -> if (now + decision.retryAfter < arrivedAt + head.timeAllowed) {
                val waiting = QuotaLimitedRequest(head, arrivedAt, retryAt = now + decision.retryAfter)
                state = state.copy(quotaLimited = state.quotaLimited.put(head.id, waiting))
            } else {
                refuseQuotaLimited(head.id)
            }
        }
    }

    private fun refuseQuotaLimited(request: RequestId) {
        state = state.copy(quotaLimited = state.quotaLimited.remove(request))
        val end = IngressEffect.EndRequest(request, Outcome.NOT_RUN, RefusalReason.ACCOUNT_LIMIT)
        effects += RouterEffect.Ingress(end)
    }

    fun reduceIngress(event: IngressEvent) {
        val step = roles.ingress.reduce(state.ingress, event, now)
        state = state.copy(ingress = step.state)
        step.effects.forEach { effectHandler.handle(it) }
    }

    fun reduceQuota(event: QuotaEvent) {
        val step = roles.quota.reduce(state.quota, event, now)
        state = state.copy(quota = step.state)
        step.effects.forEach { effect ->
            when (effect) {
                is QuotaEffect.Send -> send(effect.to, PeerMessage.ToQuota(effect.message))
            }
        }
    }

    fun reduceAdmission(event: AdmissionEvent) {
        val step = roles.admission.reduce(state.admission, event, now)
        state = state.copy(admission = step.state)
        step.effects.forEach { effectHandler.handle(it) }
    }

    fun reduceMembership(event: MembershipEvent) {
        val step = roles.membership.reduce(state.membership, event, now)
        state = state.copy(membership = step.state)
        step.effects.forEach { effectHandler.handle(it) }
    }

    fun reduceLedger(event: LedgerEvent) {
        val step = roles.ledger.reduce(state.ledger, event, now)
        state = state.copy(ledger = step.state)
        step.effects.forEach { effectHandler.handle(it) }
    }

    fun reduceClaimant(event: ClaimantEvent) {
        val step = roles.claimant.reduce(state.claimant, event, now)
        state = state.copy(claimant = step.state)
        step.effects.forEach { effectHandler.handle(it) }
    }

    fun reduceConfiguration(event: ConfigurationEvent) {
        val step = roles.configuration.reduce(state.configuration, event, now)
        state = state.copy(configuration = step.state)
        step.effects.forEach { effectHandler.handle(it) }
    }

    fun reduceOrders(event: OrdersEvent) {
        val step = roles.orders.reduce(state.orders, event, now)
        state = state.copy(orders = step.state)
        step.effects.forEach { effectHandler.handle(it) }
    }

    /** Adds [effect] to the effects of this step. */
    fun emit(effect: RouterEffect) {
        effects += effect
    }

    /** Sends [message] to the router [to]; this router handles a message to itself at once. */
    fun send(to: RouterId, message: PeerMessage) {
        if (to == state.view.self) onPeerMessage(to, message) else emit(RouterEffect.SendToPeer(to, message))
    }

    /** Sends [message] to all other routers. */
    fun broadcast(message: PeerMessage) {
        (state.view.routers.keys - state.view.self).forEach { emit(RouterEffect.SendToPeer(it, message)) }
    }

    /** Returns the use of the account's quota by [request], which has ended. */
    fun returnQuota(request: RequestId) {
        val account = state.accountByRequest[request] ?: return
        state = state.copy(accountByRequest = state.accountByRequest.remove(request))
        reduceQuota(QuotaEvent.RequestEnded(account))
    }
}
