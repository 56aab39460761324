package org.cicadaarch.membership

import org.cicadaarch.membership.MembershipEffect.Send
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Step

/**
 * Builds and sends messages within the packet limit.
 *
 * After the header, each has room first for an accusation against its recipient, so that the recipient can refute it,
 * and then for updates in dissemination.
 */
internal class PacketSender(private val settings: MembershipSettings, private val dissemination: Dissemination) {
    /**
     * Sends to [to] the message that [build] returns for the given header and updates.
     *
     * [reserved] bytes are left free for its other fields.
     */
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

    /** Returns the number of bytes available for lists in a message with header [sender]. */
    fun remainingBytes(sender: Sender): Int = settings.packetLimit - PacketSize.ofHeader(sender)

    /** Returns the header of a message sent in [state]. */
    fun senderOf(state: MembershipState): Sender = Sender(
        id = state.self.id,
        incarnation = state.incarnation,
        profile = MemberProfile.of(state.self),
        tableDigest = state.tableDigest(),
        revision = state.revision,
        hasSuspicions = state.suspicions.isNotEmpty(),
    )

    /** Returns the suspicion or removal that the router at [address] should refute, or null. */
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

/** The digest of the member table including this router. */
internal fun MembershipState.tableDigest(): Int = table.digest xor RecordHash.of(self, incarnation)

/** Returns the update that reports this member as suspected. */
internal fun Member.toAccusation(): MemberUpdate = MemberUpdate(info.id, incarnation, MemberStatus.SUSPECT)

/** Returns the update that announces this router as alive. */
internal fun MembershipState.selfUpdate(): MemberUpdate =
    MemberUpdate(self.id, incarnation, MemberStatus.ALIVE, MemberProfile.of(self))
