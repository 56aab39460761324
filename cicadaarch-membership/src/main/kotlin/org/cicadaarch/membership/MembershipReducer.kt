package org.cicadaarch.membership

import kotlin.random.Random
import org.cicadaarch.membership.MembershipMessage.Gossip
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Keeps the list of live routers: the platform's lagging list corrected by probes between the routers.
 *
 * The protocol is SWIM (Das, Gupta, Motivala: SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol, 2002) with the local health score of Lifeguard (Dadgar, Phillips, Currey: Lifeguard: SWIM-ing
 * with Situational Awareness, 2017). Messages and processor time per router do not grow with the fleet.
 */
class MembershipReducer(private val settings: MembershipSettings = MembershipSettings()) {
    private val dissemination = Dissemination(settings)
    private val packets = Packets(settings, dissemination)
    private val registry = Registry(settings, dissemination)
    private val suspicions = Suspicions(settings, registry, dissemination)
    private val prober = Prober(settings, packets, suspicions)
    private val merger = UpdateMerger(registry, suspicions, dissemination, prober)
    private val receiver = Receiver(packets, prober, registry, merger, TableSync(settings, packets, merger))
    private val reconciler = ListReconciler(settings, prober)
    private val pauses = PauseGuard(settings, prober, suspicions)
    private val views = ViewProjector()

    /** The state and the effects after [event] at [now]. After [MembershipEvent.LeaveCompleted] nothing happens. */
    fun reduce(
        state: MembershipState,
        event: MembershipEvent,
        now: Timestamp,
    ): Step<MembershipState, MembershipEffect> = when {
        state.departed -> Step(state)

        else -> when (event) {
            is MembershipEvent.Received -> receiver.receive(state, event.from, event.message, now)
            is MembershipEvent.ListFetched -> Step(reconciler.fetched(state, event.entries))
            is MembershipEvent.RevisionInstalled -> Step(state.copy(revision = event.revision))
            MembershipEvent.LeaveRequested -> Step(leaving(state))
            MembershipEvent.LeaveCompleted -> departed(state)
            MembershipEvent.Tick -> ticked(state, now)
        }
    }

    private fun ticked(state: MembershipState, now: Timestamp): MembershipStep = pauses.ticked(state, now)
        .then { prober.expire(it, now) }
        .then { suspicions.expire(suspicions.withLastProbes(it, now), now) }
        .then { prober.startDue(it, now) }
        .then { prober.gossipDue(it, now) }
        .then { reconciler.contactDue(it, now) }
        .then { reconciler.fetchDue(it, now) }
        .then { Step(dissemination.withoutOldAccusations(registry.cleanup(it, now), now)) }
        .then { views.project(it, now) }

    private fun leaving(state: MembershipState): MembershipState {
        if (state.self.leaving) return state
        val leaving = state.copy(
            self = state.self.copy(leaving = true),
            incarnation = state.incarnation + 1,
        )
        return dissemination.queued(leaving, leaving.selfUpdate())
    }

    private fun departed(state: MembershipState): MembershipStep {
        val goodbye = MemberUpdate(state.self.id, state.incarnation, MemberStatus.DEPARTED)
        val random = Random(settings.seed xor state.sequence.toLong())
        val receivers = state.table.members.values.map { it.info.address }.shuffled(random).take(GOODBYES)
        return receivers
            .steps(state) { current, address ->
                packets.send(current, address, reserved = PacketSize.of(goodbye)) { sender, updates ->
                    Gossip(sender, listOf(goodbye) + updates)
                }
            }
            .then { Step(it.copy(departed = true)) }
    }

    private companion object {
        /** Members that a router tells of its departure; one of them has to receive it. */
        const val GOODBYES = 4
    }
}
