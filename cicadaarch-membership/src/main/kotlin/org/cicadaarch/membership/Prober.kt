package org.cicadaarch.membership

import kotlin.random.Random
import kotlin.time.Duration
import org.cicadaarch.membership.MembershipMessage.Gossip
import org.cicadaarch.membership.MembershipMessage.IndirectAck
import org.cicadaarch.membership.MembershipMessage.Ping
import org.cicadaarch.membership.MembershipMessage.PingRequest
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * The SWIM failure detector.
 *
 * It probes the members in a shuffled round-robin order, asks helpers for an indirect probe when a direct probe times
 * out, and suspects a member when the indirect probe fails too.
 */
internal class Prober(
    private val settings: MembershipSettings,
    private val packets: PacketSender,
    private val suspicions: SuspicionTracker,
) {
    /** Starts queued priority probes and, if due, the probe of the next member in the round. */
    fun probeIfDue(state: MembershipState, now: Timestamp): MembershipStep =
        sendPriorityProbes(state, now).then { current ->
            if (now < current.schedule.probe || current.table.size == 0) {
                Step(current)
            } else {
                val next = now + settings.probePeriod * (current.health + 1)
                probeNext(current.copy(schedule = current.schedule.copy(probe = next)), now)
            }
        }

    /** Sends queued updates to one random member, if gossip is due. */
    fun gossipIfDue(state: MembershipState, now: Timestamp): MembershipStep {
        if (state.updates.isEmpty() || now < state.schedule.gossip || state.probeOrder.isEmpty()) return Step(state)
        val receiver = state.table[state.probeOrder[randomOf(state).nextInt(state.probeOrder.size)]]
        val gossiping = state.copy(
            schedule = state.schedule.copy(gossip = now + settings.gossipPeriod),
            sequence = state.sequence + 1,
        )
        if (receiver == null) return Step(gossiping)
        return packets.send(gossiping, receiver.info.address) { sender, updates -> Gossip(sender, updates) }
    }

    /** Probes [address] for an unknown router, unless such a probe is pending. */
    fun probeAddress(state: MembershipState, address: RouterAddress, now: Timestamp): MembershipStep {
        val isPending = state.probes.values.any { it.target == null && it.address == address }
        if (isPending || address == state.self.address) return Step(state)
        return ping(
            state,
            Probe(
                target = null,
                address = address,
                deadline = now + scaledByHealth(state, settings.indirectTimeout),
            ),
        )
    }

    /** Probes the address in [request] on behalf of the router at [requester]. */
    fun relayProbe(
        state: MembershipState,
        request: PingRequest,
        requester: RouterAddress,
        now: Timestamp,
    ): MembershipStep {
        val sequence = state.sequence + 1
        val relayed = RelayedProbe(requester, request.sequence, deadline = now + settings.directTimeout)
        val relaying = state.copy(sequence = sequence, relayedProbes = state.relayedProbes.put(sequence, relayed))
        return packets.send(relaying, RouterAddress(request.host, request.port)) { sender, updates ->
            Ping(sender, sequence, updates)
        }
    }

    /** Handles own and relayed probes whose deadline has passed. */
    fun expire(state: MembershipState, now: Timestamp): MembershipStep {
        val probes = state.probes.filterValues { it.deadline <= now }.keys.sorted()
        val relayedProbes = state.relayedProbes.filterValues { it.deadline <= now }.keys.sorted()
        return probes.foldSteps(state) { current, sequence -> handleTimeout(current, sequence, now) }
            .then { relayedProbes.foldSteps(it, ::handleRelayTimeout) }
    }

    /** Cancels all pending probes, as their responses may have been missed. */
    fun cancelAll(state: MembershipState): MembershipState =
        state.copy(probes = state.probes.clear(), relayedProbes = state.relayedProbes.clear())

    private fun sendPriorityProbes(state: MembershipState, now: Timestamp): MembershipStep {
        if (state.priorityProbes.isEmpty()) return Step(state)
        val chosen = state.priorityProbes.take(PRIORITY_PROBES_PER_TICK)
        val remaining = state.priorityProbes.builder().apply { subList(0, chosen.size).clear() }.build()
        return chosen.foldSteps(state.copy(priorityProbes = remaining)) { current, id -> probe(current, id, now) }
    }

    private fun probeNext(state: MembershipState, now: Timestamp): MembershipStep {
        val position = (state.probePosition until state.probeOrder.size)
            .firstOrNull { state.probeOrder[it] in state.table }
            ?: return probeNext(withNewRound(state), now)
        return probe(state.copy(probePosition = position + 1), state.probeOrder[position], now)
    }

    private fun withNewRound(state: MembershipState): MembershipState {
        val shuffled = state.table.members.keys.sorted().shuffled(randomOf(state))
        return state.copy(
            probeOrder = state.probeOrder.clear().addAll(shuffled),
            probePosition = 0,
            sequence = state.sequence + 1,
        )
    }

    /** Pings the member [id]; if it was last reached through a helper, also asks that helper at once. */
    private fun probe(state: MembershipState, id: RouterId, now: Timestamp): MembershipStep {
        val member = state.table[id] ?: return Step(state)
        val probe = Probe(id, member.info.address, deadline = now + scaledByHealth(state, settings.directTimeout))
        return ping(state, probe).then { current ->
            val helper = current.helperByMember[id]
            if (helper == null) Step(current) else sendPingRequest(current, helper, current.sequence, probe)
        }
    }

    private fun ping(state: MembershipState, probe: Probe): MembershipStep {
        val sequence = state.sequence + 1
        val started = state.copy(sequence = sequence, probes = state.probes.put(sequence, probe))
        return packets.send(started, probe.address) { sender, updates -> Ping(sender, sequence, updates) }
    }

    private fun handleTimeout(state: MembershipState, sequence: Int, now: Timestamp): MembershipStep {
        val probe = state.probes[sequence] ?: return Step(state)
        val member = probe.target?.let { state.table[it] }
        val ended = state.copy(probes = state.probes.remove(sequence))
        return when {
            member == null -> Step(ended)
            probe.helpersAsked == 0 -> sendPingRequests(state, sequence, probe, member, now)
            else -> handleFailure(ended, probe, member, now)
        }
    }

    private fun sendPingRequests(
        state: MembershipState,
        sequence: Int,
        probe: Probe,
        member: Member,
        now: Timestamp,
    ): MembershipStep {
        val helpers = chooseHelpers(state, member)
        if (helpers.isEmpty()) {
            val ended = state.copy(probes = state.probes.remove(sequence))
            return suspicions.suspect(ended, member, member.incarnation, now)
        }
        val indirect = probe.copy(
            deadline = now + scaledByHealth(state, settings.indirectTimeout),
            helpersAsked = helpers.size,
        )
        val asking = state.copy(probes = state.probes.put(sequence, indirect))
        return helpers.foldSteps(asking) { current, helper -> sendPingRequest(current, helper, sequence, probe) }
    }

    private fun sendPingRequest(
        state: MembershipState,
        helper: RouterAddress,
        sequence: Int,
        probe: Probe,
    ): MembershipStep = packets.send(state, helper, reserved = PacketSize.ofAddress(probe.address)) { sender, updates ->
        PingRequest(sender, sequence, probe.address.host, probe.address.port, updates)
    }

    /**
     * Chooses random members from as many zones as possible, so that a network partition between two zones does not
     * make all helpers fail.
     */
    private fun chooseHelpers(state: MembershipState, target: Member): List<RouterAddress> {
        if (state.probeOrder.isEmpty() || settings.helpers == 0) return emptyList()
        val random = randomOf(state)
        val sampled = List(settings.helpers * SAMPLES_PER_HELPER) {
            state.probeOrder[random.nextInt(state.probeOrder.size)]
        }
            .distinct()
            .mapNotNull { state.table[it]?.info }
            .filter { it.id != target.info.id && it.id !in state.suspicions }
        val firstOfZones = sampled.distinctBy { it.zone }
        return (firstOfZones + (sampled - firstOfZones.toSet())).take(settings.helpers).map { it.address }
    }

    /**
     * Suspects the target, unless no helper responded either.
     *
     * In that case this router's own network is the more likely cause, so the failure raises its local health score
     * instead. Only once the score is at its limit is the target suspected (Dadgar, Phillips, Currey: Lifeguard, 2017).
     */
    private fun handleFailure(state: MembershipState, probe: Probe, member: Member, now: Timestamp): MembershipStep {
        if (probe.helperNacks == 0 && state.health < settings.healthLimit) {
            return Step(state.copy(health = state.health + 1))
        }
        val withoutHelper = state.copy(helperByMember = state.helperByMember.remove(member.info.id))
        return suspicions.suspect(withoutHelper, member, member.incarnation, now)
    }

    private fun handleRelayTimeout(state: MembershipState, sequence: Int): MembershipStep {
        val relayed = state.relayedProbes[sequence] ?: return Step(state)
        val ended = state.copy(relayedProbes = state.relayedProbes.remove(sequence))
        return packets.send(ended, relayed.requester) { sender, updates ->
            IndirectAck(sender, relayed.requesterSequence, reached = null, updates = updates)
        }
    }

    private fun scaledByHealth(state: MembershipState, timeout: Duration): Duration = timeout * (state.health + 1)

    private fun randomOf(state: MembershipState): Random =
        Random(settings.seed xor (state.self.id.hashCode().toLong() shl Int.SIZE_BITS) xor state.sequence.toLong())

    private companion object {
        const val PRIORITY_PROBES_PER_TICK = 5

        /** Samples per helper; some hit the target, former members or a zone that is already represented. */
        const val SAMPLES_PER_HELPER = 4
    }
}
