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
 * Handles messages from other routers.
 *
 * The sender of a message becomes a member only by a response to a probe of this router, because a process that sends
 * may be unable to receive. Updates about third routers are accepted from members only, so that a removed router cannot
 * accuse others.
 */
internal class MessageHandler(
    private val packets: PacketSender,
    private val prober: Prober,
    private val registry: MemberRegistry,
    private val merger: UpdateMerger,
    private val tableSync: TableSync,
) {
    /** Handles [message], received from [from]. */
    fun handle(
        state: MembershipState,
        from: RouterAddress,
        message: MembershipMessage,
        now: Timestamp,
    ): MembershipStep {
        if (message.sender.id == state.self.id) return Step(state)
        return completeProbe(state, message, now)
            .then { applyUpdates(it, message, now) }
            .then { handleByType(it, from, message, now) }
            .then { startSync(it, from, message, now) }
    }

    private fun handleByType(
        state: MembershipState,
        from: RouterAddress,
        message: MembershipMessage,
        now: Timestamp,
    ): MembershipStep = when (message) {
        is Ping -> packets.send(state, from) { sender, updates -> Ack(sender, message.sequence, updates) }

        is PingRequest -> prober.relayProbe(state, message, from, now)

        is Ack -> forwardRelayedAck(state, message)

        is IndirectAck -> handleIndirectAck(state, from, message, now)

        is SyncRequest -> tableSync.handleRequest(state, message, from)

        is SyncReply ->
            if (message.sender.id in state.table) tableSync.handleReply(state, message, from, now) else Step(state)

        is Gossip -> Step(state)
    }

    /** Ends the probe to which [message] responds, if any, and adds the sender as a member. */
    private fun completeProbe(state: MembershipState, message: MembershipMessage, now: Timestamp): MembershipStep {
        val probe = (message as? Ack)?.let { state.probes[it.sequence] } ?: return Step(state)
        val sender = message.sender
        if (sender.profile.address != probe.address) return Step(state)
        val newHealth = if (probe.target == null) state.health else maxOf(0, state.health - 1)
        val ended = state.copy(
            probes = state.probes.remove(message.sequence),
            helperByMember = state.helperByMember.remove(sender.id),
            health = newHealth,
        )
        return admit(ended, sender, now)
    }

    private fun admit(state: MembershipState, sender: Sender, now: Timestamp): MembershipStep {
        val info = sender.profile.toInfo(sender.id)
        val replaced = state.table.at(info.address)
        val tombstone = state.tombstones[sender.id]
        val isBarred = tombstone != null && (tombstone.departed || sender.incarnation <= tombstone.incarnation)
        if (sender.id in state.table || isBarred) return Step(state)
        val cleared = if (replaced == null) {
            Step(state)
        } else {
            registry.remove(state, replaced, replaced.incarnation, RemovalReason.REPLACED, now)
        }
        return cleared.then { registry.join(it, info, sender.incarnation, disseminates = true, now) }
    }

    private fun applyUpdates(state: MembershipState, message: MembershipMessage, now: Timestamp): MembershipStep {
        val sender = message.sender
        if (sender.id !in state.table) {
            return probeUnknownSender(merger.applyAccusationsOfSelf(state, message.updates), message, now)
        }
        val senderUpdate = MemberUpdate(sender.id, sender.incarnation, MemberStatus.ALIVE, sender.profile)
        return merger.apply(state, listOf(senderUpdate) + message.updates, now).then { recordRevision(it, sender) }
    }

    private fun probeUnknownSender(state: MembershipState, message: MembershipMessage, now: Timestamp): MembershipStep {
        val departed = state.tombstones[message.sender.id]?.departed ?: false
        if (departed || message !is Ping) return Step(state)
        return prober.probeAddress(state, message.sender.profile.address, now)
    }

    private fun recordRevision(state: MembershipState, sender: Sender): MembershipStep {
        val known = state.revisions[sender.id] == sender.revision
        if (sender.id !in state.table || (known && sender.revision == state.revision)) return Step(state)
        val recorded = if (known) state else state.copy(revisions = state.revisions.put(sender.id, sender.revision))
        return Step(recorded, listOf(RevisionReported(sender.id, sender.revision)))
    }

    private fun forwardRelayedAck(state: MembershipState, ack: Ack): MembershipStep {
        val relayed = state.relayedProbes[ack.sequence] ?: return Step(state)
        val ended = state.copy(relayedProbes = state.relayedProbes.remove(ack.sequence))
        val reached = MemberUpdate(ack.sender.id, ack.sender.incarnation, MemberStatus.ALIVE, ack.sender.profile)
        return packets.send(ended, relayed.requester, reserved = PacketSize.of(reached)) { sender, updates ->
            IndirectAck(sender, relayed.requesterSequence, reached, updates)
        }
    }

    private fun handleIndirectAck(
        state: MembershipState,
        from: RouterAddress,
        ack: IndirectAck,
        now: Timestamp,
    ): MembershipStep {
        val probe = state.probes[ack.sequence]
        val target = probe?.target ?: return Step(state)
        val reached = ack.reached
        if (reached == null) {
            val updated = probe.copy(helperNacks = probe.helperNacks + 1)
            return Step(state.copy(probes = state.probes.put(ack.sequence, updated)))
        }
        val ended = state.copy(probes = state.probes.remove(ack.sequence))
        if (reached.id != target) return prober.probeAddress(ended, probe.address, now)
        val withHelper = ended.copy(helperByMember = ended.helperByMember.put(target, from))
        return merger.apply(withHelper, listOf(reached), now)
    }

    private fun startSync(
        state: MembershipState,
        from: RouterAddress,
        message: MembershipMessage,
        now: Timestamp,
    ): MembershipStep {
        val canCompare = (message is Ping || message is Ack) && message.sender.id in state.table
        return if (canCompare) tableSync.startIfDifferent(state, from, message.sender, now) else Step(state)
    }
}
