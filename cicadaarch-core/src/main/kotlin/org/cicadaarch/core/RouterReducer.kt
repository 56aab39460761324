package org.cicadaarch.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.admission.AdmissionEffect
import org.cicadaarch.admission.AdmissionEvent
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.AdmissionReducer
import org.cicadaarch.ledger.ClaimStanding
import org.cicadaarch.ledger.ClaimantEffect
import org.cicadaarch.ledger.ClaimantEvent
import org.cicadaarch.ledger.ClaimantReducer
import org.cicadaarch.ledger.LedgerEffect
import org.cicadaarch.ledger.LedgerEvent
import org.cicadaarch.ledger.LedgerReducer
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.membership.MembershipReducer
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.request.ClaimVerdict
import org.cicadaarch.request.IngressEffect
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.request.IngressReducer

/**
 * The one reducer over all events of a router. It hands each event to the roles that it concerns and carries messages
 * between roles of the same router without the network.
 */
class RouterReducer(
    private val ingressReducer: IngressReducer = IngressReducer(),
    private val admissionReducer: AdmissionReducer = AdmissionReducer(),
    private val membershipReducer: MembershipReducer = MembershipReducer(),
    private val ledgerReducer: LedgerReducer = LedgerReducer(),
    private val claimantReducer: ClaimantReducer = ClaimantReducer(),
) {
    /** The state and the effects after [event] at [now]. */
    fun reduce(state: RouterState, event: RouterEvent, now: Timestamp): Step<RouterState, RouterEffect> {
        val transition = RouterTransition(state, now)
        when (event) {
            is RouterEvent.Ingress -> transition.reduceIngress(event.event)

            is RouterEvent.PeerMessageReceived -> transition.receive(event.from, event.message)

            is RouterEvent.Membership -> transition.reduceMembership(event.event)

            is RouterEvent.RoutersChanged -> transition.routersChanged(event.view)

            is RouterEvent.PeerUnreachable -> transition.reduceIngress(IngressEvent.RouterUnreachable(event.router))

            is RouterEvent.FleetChanged -> transition.fleetChanged(event)

            is RouterEvent.LoadReported -> transition.reduceAdmission(
                AdmissionEvent.LoadReported(event.target, event.running, event.waiting),
            )

            is RouterEvent.StoreAnswered -> transition.storeAnswered(event)

            is RouterEvent.LedgerTick -> transition.reduceLedger(LedgerEvent.Tick(event.epochSeconds))

            RouterEvent.Tick -> {
                transition.reduceClaimant(ClaimantEvent.Tick)
                transition.reduceMembership(MembershipEvent.Tick)
                transition.reduceAdmission(AdmissionEvent.Tick)
                transition.reduceIngress(IngressEvent.Tick)
            }
        }
        return transition.step()
    }

    private inner class RouterTransition(private var state: RouterState, private val now: Timestamp) {
        private val effects = mutableListOf<RouterEffect>()

        fun step(): Step<RouterState, RouterEffect> = Step(state, effects)

        fun receive(from: RouterId, message: PeerMessage) {
            when (message) {
                is PeerMessage.ToAdmissionOwner -> reduceAdmission(AdmissionEvent.Received(from, message.message))

                is PeerMessage.ToIngress -> reduceIngress(IngressEvent.PermitAnswered(message.message))

                is PeerMessage.ToShardOwner -> reduceLedger(LedgerEvent.Received(from, message.message))

                is PeerMessage.ToClaimant -> reduceClaimant(ClaimantEvent.Received(from, message.message))

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
        }

        fun fleetChanged(event: RouterEvent.FleetChanged) {
            if (event.revision <= state.revision) return
            state = state.copy(revision = event.revision)
            reduceMembership(MembershipEvent.RevisionInstalled(event.revision))
            reduceAdmission(AdmissionEvent.FleetChanged(event.fleet))
            reduceIngress(IngressEvent.FleetChanged(event.fleet))
        }

        fun reduceIngress(event: IngressEvent) {
            val step = ingressReducer.reduce(state.ingress, event, now)
            state = state.copy(ingress = step.state)
            step.effects.forEach(::carryOut)
        }

        fun reduceAdmission(event: AdmissionEvent) {
            val step = admissionReducer.reduce(state.admission, event, now)
            state = state.copy(admission = step.state)
            step.effects.forEach(::carryOut)
        }

        fun reduceMembership(event: MembershipEvent) {
            val step = membershipReducer.reduce(state.membership, event, now)
            state = state.copy(membership = step.state)
            step.effects.forEach(::carryOut)
        }

        private fun carryOut(effect: MembershipEffect) {
            when (effect) {
                is MembershipEffect.Send -> effects += RouterEffect.SendDatagram(effect.to, effect.message)

                is MembershipEffect.FetchList -> effects += RouterEffect.FetchVirtualMachines

                is MembershipEffect.ViewChanged -> routersChanged(effect.view)

                is MembershipEffect.DigestHeard -> Unit

                is MembershipEffect.MemberJoined,
                is MembershipEffect.MemberSuspected,
                is MembershipEffect.SuspicionRefuted,
                is MembershipEffect.MemberRemoved,
                is MembershipEffect.PauseNoticed,
                -> effects += RouterEffect.MembershipNotice(effect)
            }
        }

        fun reduceLedger(event: LedgerEvent) {
            val step = ledgerReducer.reduce(state.ledger, event, now)
            state = state.copy(ledger = step.state)
            step.effects.forEach(::carryOut)
        }

        fun reduceClaimant(event: ClaimantEvent) {
            val step = claimantReducer.reduce(state.claimant, event, now)
            state = state.copy(claimant = step.state)
            step.effects.forEach(::carryOut)
        }

        fun storeAnswered(event: RouterEvent.StoreAnswered) {
            when (val token = event.token) {
                is StoreToken.Ledger -> reduceLedger(LedgerEvent.StoreAnswered(token.token, event.result))
            }
        }

        private fun carryOut(effect: LedgerEffect) {
            when (effect) {
                is LedgerEffect.Store -> effects += RouterEffect.Store(StoreToken.Ledger(effect.token), effect.command)

                is LedgerEffect.Log -> effects += RouterEffect.NoticeOfLedger(effect.notice)

                is LedgerEffect.Send -> if (effect.to == state.view.self) {
                    reduceClaimant(ClaimantEvent.Received(effect.to, effect.message))
                } else {
                    effects += RouterEffect.SendToPeer(effect.to, PeerMessage.ToClaimant(effect.message))
                }
            }
        }

        private fun carryOut(effect: ClaimantEffect) {
            when (effect) {
                is ClaimantEffect.Granted -> answerClaim(effect.request, ClaimVerdict.Granted)

                is ClaimantEffect.Refused -> answerClaim(effect.request, ClaimVerdict.Unavailable)

                is ClaimantEffect.Denied -> answerClaim(effect.request, ClaimVerdict.Taken(outcomeOf(effect.standing)))

                is ClaimantEffect.Send -> if (effect.to == state.view.self) {
                    reduceLedger(LedgerEvent.Received(effect.to, effect.message))
                } else {
                    effects += RouterEffect.SendToPeer(effect.to, PeerMessage.ToShardOwner(effect.message))
                }
            }
        }

        private fun answerClaim(request: RequestId, verdict: ClaimVerdict) =
            reduceIngress(IngressEvent.ClaimAnswered(request, verdict))

        private fun claim(head: RequestHead) {
            val keyed = head.idempotency as? Idempotency.Keyed ?: return
            reduceClaimant(ClaimantEvent.Requested(head.id, head.account, keyed.key, head.timeAllowed))
        }

        private fun outcomeOf(standing: ClaimStanding): Outcome? = when (standing) {
            ClaimStanding.RUNNING -> null
            ClaimStanding.COMPLETED -> Outcome.COMPLETED
            ClaimStanding.MAY_HAVE_RUN -> Outcome.MAY_HAVE_RUN
        }

        private fun carryOut(effect: IngressEffect) {
            when (effect) {
                is IngressEffect.SendToOwner -> sendToOwner(effect.to, effect.message)

                is IngressEffect.Claim -> claim(effect.head)

                is IngressEffect.FinishClaim -> reduceClaimant(ClaimantEvent.Ended(effect.head.id, effect.outcome))

                is IngressEffect.ReportCrash -> tellAll(
                    PeerMessage.CrashReported(effect.fingerprint, effect.attempt),
                )

                is IngressEffect.StartAttempt,
                is IngressEffect.CancelAttempt,
                is IngressEffect.ProbeTarget,
                is IngressEffect.EndRequest,
                -> effects += RouterEffect.Ingress(effect)
            }
        }

        private fun carryOut(effect: AdmissionEffect) {
            when (effect) {
                is AdmissionEffect.Send -> when (effect.message) {
                    is AdmissionMessage.PermitGranted,
                    is AdmissionMessage.PermitQueued,
                    is AdmissionMessage.PermitSpilled,
                    is AdmissionMessage.PermitRefused,
                    -> sendToIngress(effect.to, effect.message)

                    else -> sendToOwner(effect.to, effect.message)
                }
            }
        }

        private fun tellAll(message: PeerMessage) {
            (state.view.routers.keys - state.view.self).forEach { effects += RouterEffect.SendToPeer(it, message) }
        }

        private fun sendToOwner(to: RouterId, message: AdmissionMessage) {
            if (to == state.view.self) {
                reduceAdmission(AdmissionEvent.Received(to, message))
            } else {
                effects += RouterEffect.SendToPeer(to, PeerMessage.ToAdmissionOwner(message))
            }
        }

        private fun sendToIngress(to: RouterId, message: AdmissionMessage) {
            if (to == state.view.self) {
                reduceIngress(IngressEvent.PermitAnswered(message))
            } else {
                effects += RouterEffect.SendToPeer(to, PeerMessage.ToIngress(message))
            }
        }
    }

    companion object {
        /** The time between two ticks of all roles but the ledger. */
        val TICK_INTERVAL: Duration = 100.milliseconds

        /** The time between two ticks of the ledger. */
        val LEDGER_TICK_INTERVAL: Duration = 20.milliseconds
    }
}
