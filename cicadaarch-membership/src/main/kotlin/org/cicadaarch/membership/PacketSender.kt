package org.cicadaarch.membership

import org.cicadaarch.membership.MembershipEffect.Send
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Step

/**
 * Builds messages within the packet limit: the head, then what the receiver must refute, then updates.
 */
internal class PacketSender(private val settings: MembershipSettings, private val dissemination: Dissemination) {
    /** Sends to [to] what [build] makes of the sender and the updates; [reserved] bytes are kept for other fields. */
    fun send(
        state: MembershipState,
        to: RouterAddress,
        reserved: Int = 0,
        build: (Sender, List<MemberUpdate>) -> MembershipMessage,
    ): MembershipStep {
        val sender = senderOf(state)
        val accusation = accusationAgainst(state, to)
        val bytes = remainingBytes(sender) - reserved - (accusation?.let(PacketSize::of) ?: 0)
        val (counted, updates) = dissemination.take(state, bytes, except = accusation?.id)
        return Step(counted, listOf(Send(to, build(sender, listOfNotNull(accusation) + updates))))
    }

    /** Bytes left for lists in a message from [sender]. */
    fun remainingBytes(sender: Sender): Int = settings.packetLimit - PacketSize.ofHeader(sender)

    /** The head of a message sent in [state]. */
    fun senderOf(state: MembershipState): Sender = Sender(
        id = state.self.id,
        incarnation = state.incarnation,
        profile = MemberProfile.of(state.self),
        tableDigest = state.tableDigest(),
        revision = state.revision,
        hasSuspicions = state.suspicions.isNotEmpty(),
    )

    /** What this router holds against the router at [address], for it to refute. */
    private fun accusationAgainst(state: MembershipState, address: RouterAddress): MemberUpdate? {
        val member = state.table.at(address)
        return when {
            member == null -> latestTombstone(state, address)?.toUpdate()
            member.info.id in state.suspicions -> member.toAccusation()
            else -> null
        }
    }

    private fun latestTombstone(state: MembershipState, address: RouterAddress): Tombstone? =
        state.tombstones.values.filter { it.info.address == address && !it.departed }.maxByOrNull { it.removedAt }
}

/** The digest of the member table with this router itself. */
internal fun MembershipState.tableDigest(): Int = table.digest xor RecordHash.of(self, incarnation)

/** The update that accuses this member of not answering. */
internal fun Member.toAccusation(): MemberUpdate = MemberUpdate(info.id, incarnation, MemberStatus.SUSPECT)

/** The update by which this router tells of itself. */
internal fun MembershipState.selfUpdate(): MemberUpdate =
    MemberUpdate(self.id, incarnation, MemberStatus.ALIVE, MemberProfile.of(self))
