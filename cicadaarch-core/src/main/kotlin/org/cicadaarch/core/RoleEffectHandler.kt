package org.cicadaarch.core

import org.cicadaarch.admission.AdmissionEffect
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.configuration.dissemination.ConfigurationEffect
import org.cicadaarch.configuration.dissemination.ConfigurationEvent
import org.cicadaarch.ledger.ClaimantEffect
import org.cicadaarch.ledger.ClaimantEvent
import org.cicadaarch.ledger.LedgerEffect
import org.cicadaarch.ledger.PriorRequestStatus
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.orders.OrdersEffect
import org.cicadaarch.request.ClaimResult
import org.cicadaarch.request.IngressEffect
import org.cicadaarch.request.IngressEvent

/**
 * Passes the effects of the roles to other roles, or out of the router, for [transition].
 */
internal class RoleEffectHandler(private val transition: RouterTransition) {
    /** Handles [effect] of the ingress role. */
    fun handle(effect: IngressEffect) {
        when (effect) {
            is IngressEffect.SendToOwner -> transition.send(effect.to, PeerMessage.ToAdmissionOwner(effect.message))

            is IngressEffect.Claim -> claimKey(effect.head)

            is IngressEffect.FinishClaim -> transition.reduceClaimant(
                ClaimantEvent.RequestEnded(effect.head.id, effect.outcome),
            )

            is IngressEffect.ReportCrash -> transition.broadcast(
                PeerMessage.CrashReported(effect.fingerprint, effect.attempt),
            )

            is IngressEffect.EndRequest -> endRequest(effect)

            is IngressEffect.StartAttempt,
            is IngressEffect.CancelAttempt,
            is IngressEffect.ProbeTarget,
            -> transition.emit(RouterEffect.Ingress(effect))
        }
    }

    /** Handles [effect] of the admission role. */
    fun handle(effect: AdmissionEffect) {
        when (effect) {
            is AdmissionEffect.Send -> when (val message = effect.message) {
                is AdmissionMessage.PermitGranted,
                is AdmissionMessage.PermitQueued,
                is AdmissionMessage.PermitRedirected,
                is AdmissionMessage.PermitRefused,
                -> transition.send(effect.to, PeerMessage.ToIngress(message))

                else -> transition.send(effect.to, PeerMessage.ToAdmissionOwner(message))
            }
        }
    }

    /** Handles [effect] of the membership role. */
    fun handle(effect: MembershipEffect) {
        when (effect) {
            is MembershipEffect.Send -> transition.emit(RouterEffect.SendDatagram(effect.to, effect.message))

            is MembershipEffect.FetchList -> transition.emit(RouterEffect.FetchVirtualMachines)

            is MembershipEffect.ViewChanged -> transition.onRoutersChanged(effect.view)

            is MembershipEffect.RevisionReported -> transition.reduceConfiguration(
                ConfigurationEvent.DigestReceived(effect.router, effect.revision),
            )

            is MembershipEffect.MemberJoined,
            is MembershipEffect.MemberSuspected,
            is MembershipEffect.SuspicionRefuted,
            is MembershipEffect.MemberRemoved,
            is MembershipEffect.PauseNoticed,
            -> transition.emit(RouterEffect.Log(RouterNotice.OfMembership(effect)))
        }
    }

    /** Handles [effect] of the ledger role. */
    fun handle(effect: LedgerEffect) {
        when (effect) {
            is LedgerEffect.Send -> transition.send(effect.to, PeerMessage.ToClaimant(effect.message))

            is LedgerEffect.Store -> transition.emit(
                RouterEffect.Store(StoreToken.Ledger(effect.token), effect.command),
            )

            is LedgerEffect.Log -> transition.emit(RouterEffect.Log(RouterNotice.OfLedger(effect.notice)))
        }
    }

    /** Handles [effect] of the claimant role. */
    fun handle(effect: ClaimantEffect) {
        when (effect) {
            is ClaimantEffect.Send -> transition.send(effect.to, PeerMessage.ToShardOwner(effect.message))

            is ClaimantEffect.Granted -> onClaimResult(effect.request, ClaimResult.Granted)

            is ClaimantEffect.Refused -> onClaimResult(effect.request, ClaimResult.Unavailable)

            is ClaimantEffect.KeyAlreadyUsed ->
                onClaimResult(effect.request, ClaimResult.Taken(outcomeOf(effect.status)))
        }
    }

    /** Handles [effect] of the configuration role. */
    fun handle(effect: ConfigurationEffect) {
        when (effect) {
            is ConfigurationEffect.Send -> transition.send(effect.to, PeerMessage.ToConfiguration(effect.message))

            is ConfigurationEffect.CallStore ->
                transition.emit(RouterEffect.Store(StoreToken.Configuration(effect.token), effect.command))

            is ConfigurationEffect.Parse -> transition.emit(RouterEffect.ParseDocument(effect.revision, effect.text))

            is ConfigurationEffect.Install -> transition.onFleetChanged(effect.revision, effect.document)

            is ConfigurationEffect.Rejected, is ConfigurationEffect.Missing ->
                transition.emit(RouterEffect.Log(RouterNotice.OfConfiguration(effect)))
        }
    }

    /** Handles [effect] of the orders role. */
    fun handle(effect: OrdersEffect) {
        when (effect) {
            is OrdersEffect.Store -> transition.emit(
                RouterEffect.Store(StoreToken.Orders(effect.token), effect.command),
            )

            is OrdersEffect.Log -> transition.emit(RouterEffect.Log(RouterNotice.OfOrders(effect.notice)))

            is OrdersEffect.ReadEngineState, is OrdersEffect.SendOrder -> transition.emit(RouterEffect.Orders(effect))
        }
    }

    private fun endRequest(effect: IngressEffect.EndRequest) {
        transition.returnQuota(effect.request)
        transition.emit(RouterEffect.Ingress(effect))
    }

    private fun claimKey(head: RequestHead) {
        val keyed = head.idempotency as? Idempotency.Keyed ?: return
        transition.reduceClaimant(ClaimantEvent.ClaimRequested(head.id, head.account, keyed.key, head.timeAllowed))
    }

    private fun onClaimResult(request: RequestId, result: ClaimResult) =
        transition.reduceIngress(IngressEvent.ClaimAnswered(request, result))

    private fun outcomeOf(status: PriorRequestStatus): Outcome? = when (status) {
        PriorRequestStatus.RUNNING -> null
        PriorRequestStatus.COMPLETED -> Outcome.COMPLETED
        PriorRequestStatus.MAY_HAVE_RUN -> Outcome.MAY_HAVE_RUN
    }
}
