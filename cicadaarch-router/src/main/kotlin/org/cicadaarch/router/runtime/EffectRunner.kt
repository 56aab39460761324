package org.cicadaarch.router.runtime

import java.util.concurrent.Executor
import org.cicadaarch.configuration.FleetDocumentParser
import org.cicadaarch.configuration.dissemination.ConfigurationEvent
import org.cicadaarch.core.RouterEffect
import org.cicadaarch.core.RouterEvent
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.orders.OrderResult
import org.cicadaarch.orders.OrdersEffect
import org.cicadaarch.orders.OrdersEvent
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.request.IngressEffect
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.router.caller.ExchangeRegistry
import org.cicadaarch.router.observation.NoticeLog
import org.cicadaarch.router.peer.PeerDatagrams
import org.cicadaarch.router.peer.PeerLinks
import org.cicadaarch.router.target.EngineControl
import org.cicadaarch.router.target.TargetAddress
import org.cicadaarch.router.target.TargetProbe
import org.cicadaarch.store.Store
import org.cicadaarch.store.VirtualMachineList

/**
 * Carries out the reducer's effects and hands their answers back as events.
 */
internal class EffectRunner(
    private val exchanges: ExchangeRegistry,
    private val peers: PeerLinks,
    private val datagrams: PeerDatagrams,
    private val store: Store,
    private val virtualMachines: VirtualMachineList,
    private val engines: EngineControl,
    private val probe: TargetProbe,
    private val background: Executor,
    private val fleet: () -> FleetDocument?,
    private val submit: (RouterEvent) -> Unit,
) {
    /** Carries out [effect]. */
    fun run(effect: RouterEffect) {
        when (effect) {
            is RouterEffect.SendToPeer -> peers.send(effect.to, effect.message)

            is RouterEffect.SendDatagram -> datagrams.send(effect.to, effect.message)

            is RouterEffect.Ingress -> run(effect.effect)

            is RouterEffect.Orders -> run(effect.effect)

            is RouterEffect.Log -> NoticeLog.write(effect.notice)

            is RouterEffect.ParseDocument -> background.execute { parse(effect) }

            is RouterEffect.Store -> store.execute(effect.command) { result ->
                submit(RouterEvent.StoreCallCompleted(effect.token, result))
            }

            RouterEffect.FetchVirtualMachines -> fetchVirtualMachines()
        }
    }

    private fun run(effect: IngressEffect) {
        when (effect) {
            is IngressEffect.StartAttempt -> startAttempt(effect)

            is IngressEffect.CancelAttempt -> exchanges.withExchange(effect.attempt.request) {
                it.cancelAttempt(effect.attempt)
            }

            is IngressEffect.EndRequest -> exchanges.withExchange(effect.request) {
                it.end(effect.outcome, effect.reason)
            }

            is IngressEffect.ProbeTarget -> probe(effect)

            is IngressEffect.Claim,
            is IngressEffect.FinishClaim,
            is IngressEffect.SendToOwner,
            is IngressEffect.ReportCrash,
            -> error("the reducer carries out $effect itself")
        }
    }

    private fun startAttempt(effect: IngressEffect.StartAttempt) {
        val address = addressOf(effect.target)
        if (address == null) {
            val failed = IngressEvent.AttemptFailed(effect.attempt, AttemptFailure.NotConnected, effect.resumeAfter)
            submit(RouterEvent.Ingress(failed))
        } else {
            exchanges.startAttempt(effect.attempt, address, effect.resumeAfter)
        }
    }

    private fun probe(effect: IngressEffect.ProbeTarget) {
        val answer = { alive: Boolean ->
            submit(RouterEvent.Ingress(IngressEvent.ProbeAnswered(effect.attempt, alive)))
        }
        when (val address = addressOf(effect.target)) {
            null -> answer(false)
            else -> probe.probe(address, answer)
        }
    }

    private fun run(effect: OrdersEffect) {
        when (effect) {
            is OrdersEffect.ReadEngineState -> readState(effect)
            is OrdersEffect.SendOrder -> sendOrder(effect)
            is OrdersEffect.Store, is OrdersEffect.Log -> error("the reducer translates $effect")
        }
    }

    private fun readState(effect: OrdersEffect.ReadEngineState) {
        val address = addressOf(effect.target)
        if (address == null) {
            submitOrders(OrdersEvent.EngineStateRead(effect.token, effect.target, state = null))
        } else {
            engines.readState(address, effect.timeLimit) { state ->
                submitOrders(OrdersEvent.EngineStateRead(effect.token, effect.target, state))
            }
        }
    }

    private fun sendOrder(effect: OrdersEffect.SendOrder) {
        val address = addressOf(effect.target)
        if (address == null) {
            submitOrders(OrdersEvent.OrderCompleted(effect.token, effect.target, OrderResult.FAILED))
        } else {
            engines.order(address, effect) { result ->
                submitOrders(OrdersEvent.OrderCompleted(effect.token, effect.target, result))
            }
        }
    }

    private fun fetchVirtualMachines() = virtualMachines.fetch { result ->
        result.onRight { machines ->
            val entries = machines.map { ListedVm(it.address, it.zone, it.leaving) }
            submit(RouterEvent.Membership(MembershipEvent.ListFetched(entries)))
        }
    }

    private fun parse(effect: RouterEffect.ParseDocument) {
        val result = FleetDocumentParser.parse(effect.text)
        submit(RouterEvent.Configuration(ConfigurationEvent.Parsed(effect.revision, result)))
    }

    private fun submitOrders(event: OrdersEvent) = submit(RouterEvent.Orders(event))

    private fun addressOf(target: TargetId): RouterAddress? = fleet()?.targets?.get(target)?.let(TargetAddress::of)
}
