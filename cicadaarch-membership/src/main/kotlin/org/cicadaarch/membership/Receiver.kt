package org.cicadaarch.membership

import org.cicadaarch.membership.MembershipEffect.RevisionReported
import org.cicadaarch.membership.MembershipMessage.Ack
import org.cicadaarch.membership.MembershipMessage.Gossip
import org.cicadaarch.membership.MembershipMessage.IndirectAck
import org.cicadaarch.membership.MembershipMessage.Ping
import org.cicadaarch.membership.MembershipMessage.PingRequest
import org.cicadaarch.membership.MembershipMessage.SyncReply
import org.cicadaarch.membership.MembershipMessage.SyncRequest
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Handles messages of other routers.
 *
 * Only an answer to a probe of its own lets a router take an unknown sender for a member: what just sends may not be
 * able to receive. News on third routers is taken from members only, so that a removed router cannot accuse others.
 */
internal class Receiver(
    private val packets: Packets,
    private val prober: Prober,
    private val registry: Registry,
    private val merger: UpdateMerger,
    private val sync: TableSync,
) {
    /** The state after [message] from [from]. */
    fun receive(
        state: MembershipState,
        from: RouterAddress,
        message: MembershipMessage,
        now: Timestamp,
    ): MembershipStep {
        if (message.sender.id == state.self.id) return Step(state)
        return answeredProbe(state, message, now)
            .then { heard(it, message, now) }
            .then { handle(it, from, message, now) }
            .then { compareTables(it, from, message, now) }
    }

    private fun handle(
        state: MembershipState,
        from: RouterAddress,
        message: MembershipMessage,
        now: Timestamp,
    ): MembershipStep = when (message) {
        is Ping -> packets.send(state, from) { sender, updates -> Ack(sender, message.sequence, updates) }
        is PingRequest -> prober.relay(state, message, from, now)
        is Ack -> relayed(state, message)
        is IndirectAck -> helperAnswered(state, from, message, now)
        is SyncRequest -> sync.answer(state, message, from)
        is SyncReply -> if (message.sender.id in state.table) sync.received(state, message, from, now) else Step(state)
        is Gossip -> Step(state)
    }

    /** Ends the probe that [message] answers, if it does, and takes its sender for a member. */
    private fun answeredProbe(state: MembershipState, message: MembershipMessage, now: Timestamp): MembershipStep {
        val probe = (message as? Ack)?.let { state.probes[it.sequence] } ?: return Step(state)
        val sender = message.sender
        if (sender.profile.address != probe.address) return Step(state)
        val healthier = if (probe.target == null) state.health else maxOf(0, state.health - 1)
        val ended = state.copy(
            probes = state.probes.remove(message.sequence),
            workingHelpers = state.workingHelpers.remove(sender.id),
            health = healthier,
        )
        return admit(ended, sender, now)
    }

    private fun admit(state: MembershipState, sender: Sender, now: Timestamp): MembershipStep {
        val info = sender.profile.toInfo(sender.id)
        val holder = state.table.at(info.address)
        val tombstone = state.tombstones[sender.id]
        val buried = tombstone != null && (tombstone.departed || sender.incarnation <= tombstone.incarnation)
        if (sender.id in state.table || buried) return Step(state)
        val cleared = if (holder == null) {
            Step(state)
        } else {
            registry.remove(state, holder, holder.incarnation, RemovalReason.REPLACED, now)
        }
        return cleared.then { registry.join(it, info, sender.incarnation, spread = true, now) }
    }

    private fun heard(state: MembershipState, message: MembershipMessage, now: Timestamp): MembershipStep {
        val sender = message.sender
        if (sender.id !in state.table) {
            return contactUnknown(merger.applyOwn(state, message.updates), message, now)
        }
        val own = MemberUpdate(sender.id, sender.incarnation, MemberStatus.ALIVE, sender.profile)
        return merger.apply(state, listOf(own) + message.updates, now).then { digestHeard(it, sender) }
    }

    private fun contactUnknown(state: MembershipState, message: MembershipMessage, now: Timestamp): MembershipStep {
        val departed = state.tombstones[message.sender.id]?.departed ?: false
        if (departed || message !is Ping) return Step(state)
        return prober.contact(state, message.sender.profile.address, now)
    }

    private fun digestHeard(state: MembershipState, sender: Sender): MembershipStep {
        val known = state.revisions[sender.id] == sender.revision
        if (sender.id !in state.table || (known && sender.revision == state.revision)) return Step(state)
        val noted = if (known) state else state.copy(revisions = state.revisions.put(sender.id, sender.revision))
        return Step(noted, listOf(RevisionReported(sender.id, sender.revision)))
    }

    private fun relayed(state: MembershipState, ack: Ack): MembershipStep {
        val relay = state.relays[ack.sequence] ?: return Step(state)
        val ended = state.copy(relays = state.relays.remove(ack.sequence))
        val reached = MemberUpdate(ack.sender.id, ack.sender.incarnation, MemberStatus.ALIVE, ack.sender.profile)
        return packets.send(ended, relay.requester, reserved = PacketSize.of(reached)) { sender, updates ->
            IndirectAck(sender, relay.requesterSequence, reached, updates)
        }
    }

    private fun helperAnswered(
        state: MembershipState,
        from: RouterAddress,
        answer: IndirectAck,
        now: Timestamp,
    ): MembershipStep {
        val probe = state.probes[answer.sequence]
        val target = probe?.target ?: return Step(state)
        val reached = answer.reached
        if (reached == null) {
            val noted = probe.copy(helpersAnswered = probe.helpersAnswered + 1)
            return Step(state.copy(probes = state.probes.put(answer.sequence, noted)))
        }
        val ended = state.copy(probes = state.probes.remove(answer.sequence))
        if (reached.id != target) return prober.contact(ended, probe.address, now)
        val helped = ended.copy(workingHelpers = ended.workingHelpers.put(target, from))
        return merger.apply(helped, listOf(reached), now)
    }

    private fun compareTables(
        state: MembershipState,
        from: RouterAddress,
        message: MembershipMessage,
        now: Timestamp,
    ): MembershipStep {
        val comparable = (message is Ping || message is Ack) && message.sender.id in state.table
        return if (comparable) sync.startIfDifferent(state, from, message.sender, now) else Step(state)
    }
}
