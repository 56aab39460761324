package org.cicadaarch.core

import org.cicadaarch.admission.AdmissionEffect
import org.cicadaarch.admission.AdmissionEvent
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.configuration.dissemination.ConfigurationEffect
import org.cicadaarch.configuration.dissemination.ConfigurationEvent
import org.cicadaarch.ledger.ClaimantEffect
import org.cicadaarch.ledger.ClaimantEvent
import org.cicadaarch.ledger.LedgerEffect
import org.cicadaarch.ledger.LedgerEvent
import org.cicadaarch.ledger.PriorRequestStatus
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.model.Idempotency
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
import org.cicadaarch.orders.OrdersEffect
import org.cicadaarch.orders.OrdersEvent
import org.cicadaarch.quota.QuotaDecision
import org.cicadaarch.quota.QuotaEffect
import org.cicadaarch.quota.QuotaEvent
import org.cicadaarch.request.ClaimResult
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
        step.effects.forEach(::handle)
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
        step.effects.forEach(::handle)
    }

    fun reduceMembership(event: MembershipEvent) {
        val step = roles.membership.reduce(state.membership, event, now)
        state = state.copy(membership = step.state)
        step.effects.forEach(::handle)
    }

    fun reduceLedger(event: LedgerEvent) {
        val step = roles.ledger.reduce(state.ledger, event, now)
        state = state.copy(ledger = step.state)
        step.effects.forEach(::handle)
    }

    fun reduceClaimant(event: ClaimantEvent) {
        val step = roles.claimant.reduce(state.claimant, event, now)
        state = state.copy(claimant = step.state)
        step.effects.forEach(::handle)
    }

    fun reduceConfiguration(event: ConfigurationEvent) {
        val step = roles.configuration.reduce(state.configuration, event, now)
        state = state.copy(configuration = step.state)
        step.effects.forEach(::handle)
    }

    fun reduceOrders(event: OrdersEvent) {
        val step = roles.orders.reduce(state.orders, event, now)
        state = state.copy(orders = step.state)
        step.effects.forEach(::handle)
    }

    private fun handle(effect: IngressEffect) {
        when (effect) {
            is IngressEffect.SendToOwner -> send(effect.to, PeerMessage.ToAdmissionOwner(effect.message))

            is IngressEffect.Claim -> claimKey(effect.head)

            is IngressEffect.FinishClaim -> reduceClaimant(ClaimantEvent.RequestEnded(effect.head.id, effect.outcome))

            is IngressEffect.ReportCrash -> broadcast(PeerMessage.CrashReported(effect.fingerprint, effect.attempt))

            is IngressEffect.EndRequest -> endRequest(effect)

            is IngressEffect.StartAttempt,
            is IngressEffect.CancelAttempt,
            is IngressEffect.ProbeTarget,
            -> effects += RouterEffect.Ingress(effect)
        }
    }

    private fun handle(effect: AdmissionEffect) {
        when (effect) {
            is AdmissionEffect.Send -> when (val message = effect.message) {
                is AdmissionMessage.PermitGranted,
                is AdmissionMessage.PermitQueued,
                is AdmissionMessage.PermitRedirected,
                is AdmissionMessage.PermitRefused,
                -> send(effect.to, PeerMessage.ToIngress(message))

                else -> send(effect.to, PeerMessage.ToAdmissionOwner(message))
            }
        }
    }

    private fun handle(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.Send -> effects += RouterEffect.SendDatagram(effect.to, effect.message)

            is MembershipEffect.FetchList -> effects += RouterEffect.FetchVirtualMachines

            is MembershipEffect.ViewChanged -> onRoutersChanged(effect.view)

            is MembershipEffect.RevisionReported -> reduceConfiguration(
                ConfigurationEvent.DigestReceived(effect.router, effect.revision),
            )

            is MembershipEffect.MemberJoined,
            is MembershipEffect.MemberSuspected,
            is MembershipEffect.SuspicionRefuted,
            is MembershipEffect.MemberRemoved,
            is MembershipEffect.PauseNoticed,
            -> effects += RouterEffect.Log(RouterNotice.OfMembership(effect))
        }
    }

    private fun handle(effect: LedgerEffect) {
        when (effect) {
            is LedgerEffect.Send -> send(effect.to, PeerMessage.ToClaimant(effect.message))
            is LedgerEffect.Store -> effects += RouterEffect.Store(StoreToken.Ledger(effect.token), effect.command)
            is LedgerEffect.Log -> effects += RouterEffect.Log(RouterNotice.OfLedger(effect.notice))
        }
    }

    private fun handle(effect: ClaimantEffect) {
        when (effect) {
            is ClaimantEffect.Send -> send(effect.to, PeerMessage.ToShardOwner(effect.message))

            is ClaimantEffect.Granted -> onClaimResult(effect.request, ClaimResult.Granted)

            is ClaimantEffect.Refused -> onClaimResult(effect.request, ClaimResult.Unavailable)

            is ClaimantEffect.KeyAlreadyUsed ->
                onClaimResult(effect.request, ClaimResult.Taken(outcomeOf(effect.status)))
        }
    }

    private fun handle(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Send -> send(effect.to, PeerMessage.ToConfiguration(effect.message))

            is ConfigurationEffect.CallStore ->
                effects += RouterEffect.Store(StoreToken.Configuration(effect.token), effect.command)

            is ConfigurationEffect.Parse -> effects += RouterEffect.ParseDocument(effect.revision, effect.text)

            is ConfigurationEffect.Install -> onFleetChanged(effect.revision, effect.document)

            is ConfigurationEffect.Rejected, is ConfigurationEffect.Missing ->
                effects += RouterEffect.Log(RouterNotice.OfConfiguration(effect))
        }
    }

    private fun handle(effect: OrdersEffect) {
        when (effect) {
            is OrdersEffect.Store -> effects += RouterEffect.Store(StoreToken.Orders(effect.token), effect.command)
            is OrdersEffect.Log -> effects += RouterEffect.Log(RouterNotice.OfOrders(effect.notice))
            is OrdersEffect.ReadEngineState, is OrdersEffect.SendOrder -> effects += RouterEffect.Orders(effect)
        }
    }

    private fun send(to: RouterId, message: PeerMessage) {
        if (to == state.view.self) onPeerMessage(to, message) else effects += RouterEffect.SendToPeer(to, message)
    }

    private fun broadcast(message: PeerMessage) {
        (state.view.routers.keys - state.view.self).forEach { effects += RouterEffect.SendToPeer(it, message) }
    }

    private fun endRequest(effect: IngressEffect.EndRequest) {
        state.accountByRequest[effect.request]?.let { account ->
            state = state.copy(accountByRequest = state.accountByRequest.remove(effect.request))
            reduceQuota(QuotaEvent.RequestEnded(account))
        }
        effects += RouterEffect.Ingress(effect)
    }

    private fun claimKey(head: RequestHead) {
        val keyed = head.idempotency as? Idempotency.Keyed ?: return
        reduceClaimant(ClaimantEvent.ClaimRequested(head.id, head.account, keyed.key, head.timeAllowed))
    }

    private fun onClaimResult(request: RequestId, result: ClaimResult) =
        reduceIngress(IngressEvent.ClaimAnswered(request, result))

    private fun outcomeOf(status: PriorRequestStatus): Outcome? = when (status) {
        PriorRequestStatus.RUNNING -> null
        PriorRequestStatus.COMPLETED -> Outcome.COMPLETED
        PriorRequestStatus.MAY_HAVE_RUN -> Outcome.MAY_HAVE_RUN
    }
}
