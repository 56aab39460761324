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
 * Collects the next state and the effects while one event at [now] passes through the roles that it concerns.
 */
internal class RouterTransition(
    private val roles: RoleReducers,
    private var state: RouterState,
    private val now: Timestamp,
) {
    private val effects = mutableListOf<RouterEffect>()

    fun step(): Step<RouterState, RouterEffect> = Step(state, effects)

    fun receive(from: RouterId, message: PeerMessage) {
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

    fun routersChanged(view: RouterView) {
        state = state.copy(view = view)
        reduceAdmission(AdmissionEvent.RoutersChanged(view))
        reduceIngress(IngressEvent.RoutersChanged(view))
        reduceLedger(LedgerEvent.RoutersChanged(view))
        reduceClaimant(ClaimantEvent.RoutersChanged(view))
        reduceConfiguration(ConfigurationEvent.RoutersChanged(view))
        reduceQuota(QuotaEvent.RoutersChanged(view))
        reduceOrders(OrdersEvent.RoutersChanged(view))
    }

    fun fleetChanged(revision: Revision, fleet: FleetDocument) {
        if (revision <= state.revision) return
        state = state.copy(revision = revision)
        reduceMembership(MembershipEvent.RevisionInstalled(revision))
        reduceAdmission(AdmissionEvent.FleetChanged(fleet))
        reduceIngress(IngressEvent.FleetChanged(fleet))
        reduceQuota(QuotaEvent.FleetChanged(fleet))
        reduceOrders(OrdersEvent.FleetChanged(fleet))
    }

    fun storeAnswered(token: StoreToken, result: StoreResult) {
        when (token) {
            is StoreToken.Ledger -> reduceLedger(LedgerEvent.StoreCallCompleted(token.token, result))

            is StoreToken.Configuration ->
                reduceConfiguration(ConfigurationEvent.StoreCallCompleted(token.call, result))

            is StoreToken.Orders -> reduceOrders(OrdersEvent.StoreCallCompleted(token.token, result))
        }
    }

    /** An event from the process around the reducer; a new request must be within its account's limits. */
    fun callerEvent(event: IngressEvent) {
        when {
            event is IngressEvent.Arrived -> admit(event.head, arrivedAt = now)
            event is IngressEvent.CallerGone && event.request in state.limited -> refuseLimited(event.request)
            else -> reduceIngress(event)
        }
    }

    /** Tries the requests again that a limit of their account held back. */
    fun retryLimited() = state.limited.values.filter { it.retryAt <= now }.forEach { admit(it.head, it.arrivedAt) }

    /** Lets a request in, holds it back while its account's limit allows no more, or refuses it at its deadline. */
    private fun admit(head: RequestHead, arrivedAt: Timestamp) {
        val tokens = head.promptTokens + head.outputTokens
        val verdict = roles.quota.check(state.quota, head.account, tokens, now)
        val isAllowed = verdict is QuotaDecision.Allowed
        val isFirstTry = head.id !in state.limited
        if (isAllowed || isFirstTry) reduceQuota(QuotaEvent.RequestChecked(head.account, tokens, admitted = isAllowed))
        when (verdict) {
            is QuotaDecision.Allowed -> {
                state = state.copy(
                    accounts = state.accounts.put(head.id, head.account),
                    limited = state.limited.remove(head.id),
                )
                val waited = now - arrivedAt
                reduceIngress(IngressEvent.Arrived(head.copy(timeAllowed = head.timeAllowed - waited)))
            }

            is QuotaDecision.Limited -> if (now + verdict.retryAfter < arrivedAt + head.timeAllowed) {
                val held = LimitedRequest(head, arrivedAt, retryAt = now + verdict.retryAfter)
                state = state.copy(limited = state.limited.put(head.id, held))
            } else {
                refuseLimited(head.id)
            }
        }
    }

    private fun refuseLimited(request: RequestId) {
        state = state.copy(limited = state.limited.remove(request))
        val end = IngressEffect.EndRequest(request, Outcome.NOT_RUN, RefusalReason.ACCOUNT_LIMIT)
        effects += RouterEffect.Ingress(end)
    }

    fun reduceIngress(event: IngressEvent) {
        val step = roles.ingress.reduce(state.ingress, event, now)
        state = state.copy(ingress = step.state)
        step.effects.forEach(::carryOut)
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
        step.effects.forEach(::carryOut)
    }

    fun reduceMembership(event: MembershipEvent) {
        val step = roles.membership.reduce(state.membership, event, now)
        state = state.copy(membership = step.state)
        step.effects.forEach(::carryOut)
    }

    fun reduceLedger(event: LedgerEvent) {
        val step = roles.ledger.reduce(state.ledger, event, now)
        state = state.copy(ledger = step.state)
        step.effects.forEach(::carryOut)
    }

    fun reduceClaimant(event: ClaimantEvent) {
        val step = roles.claimant.reduce(state.claimant, event, now)
        state = state.copy(claimant = step.state)
        step.effects.forEach(::carryOut)
    }

    fun reduceConfiguration(event: ConfigurationEvent) {
        val step = roles.configuration.reduce(state.configuration, event, now)
        state = state.copy(configuration = step.state)
        step.effects.forEach(::carryOut)
    }

    fun reduceOrders(event: OrdersEvent) {
        val step = roles.orders.reduce(state.orders, event, now)
        state = state.copy(orders = step.state)
        step.effects.forEach(::carryOut)
    }

    private fun carryOut(effect: IngressEffect) {
        when (effect) {
            is IngressEffect.SendToOwner -> send(effect.to, PeerMessage.ToAdmissionOwner(effect.message))

            is IngressEffect.Claim -> claim(effect.head)

            is IngressEffect.FinishClaim -> reduceClaimant(ClaimantEvent.RequestEnded(effect.head.id, effect.outcome))

            is IngressEffect.ReportCrash -> tellAll(PeerMessage.CrashReported(effect.fingerprint, effect.attempt))

            is IngressEffect.EndRequest -> ended(effect)

            is IngressEffect.StartAttempt,
            is IngressEffect.CancelAttempt,
            is IngressEffect.ProbeTarget,
            -> effects += RouterEffect.Ingress(effect)
        }
    }

    private fun carryOut(effect: AdmissionEffect) {
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

    private fun carryOut(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.Send -> effects += RouterEffect.SendDatagram(effect.to, effect.message)

            is MembershipEffect.FetchList -> effects += RouterEffect.FetchVirtualMachines

            is MembershipEffect.ViewChanged -> routersChanged(effect.view)

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

    private fun carryOut(effect: LedgerEffect) {
        when (effect) {
            is LedgerEffect.Send -> send(effect.to, PeerMessage.ToClaimant(effect.message))
            is LedgerEffect.Store -> effects += RouterEffect.Store(StoreToken.Ledger(effect.token), effect.command)
            is LedgerEffect.Log -> effects += RouterEffect.Log(RouterNotice.OfLedger(effect.notice))
        }
    }

    private fun carryOut(effect: ClaimantEffect) {
        when (effect) {
            is ClaimantEffect.Send -> send(effect.to, PeerMessage.ToShardOwner(effect.message))
            is ClaimantEffect.Granted -> answerClaim(effect.request, ClaimResult.Granted)
            is ClaimantEffect.Refused -> answerClaim(effect.request, ClaimResult.Unavailable)
            is ClaimantEffect.KeyAlreadyUsed -> answerClaim(effect.request, ClaimResult.Taken(outcomeOf(effect.status)))
        }
    }

    private fun carryOut(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Send -> send(effect.to, PeerMessage.ToConfiguration(effect.message))

            is ConfigurationEffect.CallStore ->
                effects += RouterEffect.Store(StoreToken.Configuration(effect.token), effect.command)

            is ConfigurationEffect.Parse -> effects += RouterEffect.ParseDocument(effect.revision, effect.text)

            is ConfigurationEffect.Install -> fleetChanged(effect.revision, effect.document)

            is ConfigurationEffect.Rejected, is ConfigurationEffect.Missing ->
                effects += RouterEffect.Log(RouterNotice.OfConfiguration(effect))
        }
    }

    private fun carryOut(effect: OrdersEffect) {
        when (effect) {
            is OrdersEffect.Store -> effects += RouterEffect.Store(StoreToken.Orders(effect.token), effect.command)
            is OrdersEffect.Log -> effects += RouterEffect.Log(RouterNotice.OfOrders(effect.notice))
            is OrdersEffect.ReadEngineState, is OrdersEffect.SendOrder -> effects += RouterEffect.Orders(effect)
        }
    }

    private fun send(to: RouterId, message: PeerMessage) {
        if (to == state.view.self) receive(to, message) else effects += RouterEffect.SendToPeer(to, message)
    }

    private fun tellAll(message: PeerMessage) {
        (state.view.routers.keys - state.view.self).forEach { effects += RouterEffect.SendToPeer(it, message) }
    }

    private fun ended(effect: IngressEffect.EndRequest) {
        state.accounts[effect.request]?.let { account ->
            state = state.copy(accounts = state.accounts.remove(effect.request))
            reduceQuota(QuotaEvent.RequestEnded(account))
        }
        effects += RouterEffect.Ingress(effect)
    }

    private fun claim(head: RequestHead) {
        val keyed = head.idempotency as? Idempotency.Keyed ?: return
        reduceClaimant(ClaimantEvent.ClaimRequested(head.id, head.account, keyed.key, head.timeAllowed))
    }

    private fun answerClaim(request: RequestId, verdict: ClaimResult) =
        reduceIngress(IngressEvent.ClaimAnswered(request, verdict))

    private fun outcomeOf(status: PriorRequestStatus): Outcome? = when (status) {
        PriorRequestStatus.RUNNING -> null
        PriorRequestStatus.COMPLETED -> Outcome.COMPLETED
        PriorRequestStatus.MAY_HAVE_RUN -> Outcome.MAY_HAVE_RUN
    }
}
