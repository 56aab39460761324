package org.cicadaarch.membership

import kotlin.random.Random
import org.cicadaarch.membership.MembershipMessage.Gossip
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Maintains the set of live routers by probes between them.
 *
 * The platform's VM list, which may lag, serves only to discover routers and to mark those that are leaving.
 *
 * The protocol is SWIM (Das, Gupta, Motivala: SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol, 2002) with the local health score of Lifeguard (Dadgar, Phillips, Currey: Lifeguard: SWIM-ing
 * with Situational Awareness, 2017). The number of messages and the CPU time per router do not grow with the fleet.
 */
class MembershipReducer(private val settings: MembershipSettings = MembershipSettings()) {
    private val dissemination = Dissemination(settings)
    private val packetSender = PacketSender(settings, dissemination)
    private val registry = MemberRegistry(settings, dissemination)
    private val suspicionTracker = SuspicionTracker(settings, registry, dissemination)
    private val prober = Prober(settings, packetSender, suspicionTracker)
    private val merger = UpdateMerger(registry, suspicionTracker, dissemination, prober)
    private val tableSync = TableSync(settings, packetSender, merger)
    private val handler = MessageHandler(packetSender, prober, registry, merger, tableSync)
    private val reconciler = ListReconciler(settings, prober)
    private val pauseDetector = PauseDetector(settings, prober, suspicionTracker)
    private val viewProjector = ViewProjector()

    /** Applies [event] at time [now]. All events after [MembershipEvent.LeaveCompleted] are ignored. */
    fun reduce(
        state: MembershipState,
        event: MembershipEvent,
        now: Timestamp,
    ): Step<MembershipState, MembershipEffect> = when {
        state.departed -> Step(state)

        else -> when (event) {
            is MembershipEvent.Received -> handler.handle(state, event.from, event.message, now)
            is MembershipEvent.ListFetched -> Step(reconciler.updateList(state, event.entries))
            is MembershipEvent.RevisionInstalled -> Step(state.copy(revision = event.revision))
            MembershipEvent.LeaveRequested -> Step(startLeaving(state))
            MembershipEvent.LeaveCompleted -> depart(state)
            MembershipEvent.Tick -> tick(state, now)
        }
    }

    private fun tick(state: MembershipState, now: Timestamp): MembershipStep = pauseDetector.recordTick(state, now)
        .then { prober.expire(it, now) }
        .then { suspicionTracker.expire(suspicionTracker.withFinalProbes(it, now), now) }
        .then { prober.probeIfDue(it, now) }
        .then { prober.gossipIfDue(it, now) }
        .then { reconciler.discoverIfDue(it, now) }
        .then { reconciler.fetchListIfDue(it, now) }
        .then { Step(dissemination.withoutExpiredAccusations(registry.cleanup(it, now), now)) }
        .then { viewProjector.project(it, now) }

    private fun startLeaving(state: MembershipState): MembershipState {
        if (state.self.leaving) return state
        val leaving = state.copy(
            self = state.self.copy(leaving = true),
            incarnation = state.incarnation + 1,
        )
        return dissemination.enqueue(leaving, leaving.selfUpdate())
    }

    private fun depart(state: MembershipState): MembershipStep {
        val departure = MemberUpdate(state.self.id, state.incarnation, MemberStatus.DEPARTED)
        val random = Random(settings.seed xor state.sequence.toLong())
        val recipients = state.table.members.values.map { it.info.address }.shuffled(random).take(DEPARTURE_RECIPIENTS)
        return recipients
            .foldSteps(state) { current, address ->
                packetSender.send(current, address, reserved = PacketSize.of(departure)) { sender, updates ->
                    Gossip(sender, listOf(departure) + updates)
                }
            }
            .then { Step(it.copy(departed = true)) }
    }

    private companion object {
        /** Number of members that receive the departure directly; one that receives it disseminates it further. */
        const val DEPARTURE_RECIPIENTS = 4
    }
}
