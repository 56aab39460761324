package org.cicadaarch.membership

import kotlin.math.ceil
import kotlin.math.log10
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * Gossip dissemination: piggybacks queued updates on outgoing messages.
 *
 * The least transmitted updates go first, and each is dropped after a bounded number of transmissions.
 */
internal class Dissemination(private val settings: MembershipSettings) {
    /** Queues [update] in place of any queued update about the same router. */
    fun enqueue(state: MembershipState, update: MemberUpdate): MembershipState =
        state.copy(updates = state.updates.put(update.id, QueuedUpdate(update, state.schedule.lastTick)))

    /**
     * Selects the next updates of at most [bytes] in total, without the one about [except].
     *
     * The returned state has their transmissions counted.
     */
    fun take(state: MembershipState, bytes: Int, except: RouterId?): Pair<MembershipState, List<MemberUpdate>> {
        if (state.updates.isEmpty()) return state to emptyList()
        val chosen = takeFitting(leastSentFirst(state).filter { it.update.id != except }, bytes)
        return state.copy(updates = withTransmissionsCounted(state, chosen)) to chosen.map { it.update }
    }

    /**
     * Drops queued suspicions and removals older than the accusation lifetime, so that a router whose network
     * partition has healed does not accuse all the members that it could not reach during the partition.
     */
    fun withoutExpiredAccusations(state: MembershipState, now: Timestamp): MembershipState {
        val expired = state.updates.values
            .filter { it.isAccusation() && it.queuedAt + settings.accusationLifetime < now }
        if (expired.isEmpty()) return state
        return state.copy(updates = state.updates.builder().apply { expired.forEach { remove(it.update.id) } }.build())
    }

    private fun QueuedUpdate.isAccusation(): Boolean =
        update.status == MemberStatus.SUSPECT || update.status == MemberStatus.REMOVED

    /**
     * Orders updates by number of transmissions, then by status, then pseudo-randomly.
     *
     * Departures come first among the statuses, so that a new process at the same address meets no conflict.
     */
    private fun leastSentFirst(state: MembershipState): List<QueuedUpdate> = state.updates.values
        .map { queued -> queued to RecordHash.mix(queued.update.id.value.hashCode() xor state.sequence) }
        .sortedWith(compareBy({ it.first.transmissions }, { it.first.update.status }, { it.second }))
        .map { it.first }

    private fun takeFitting(candidates: List<QueuedUpdate>, bytes: Int): List<QueuedUpdate> {
        var remaining = bytes
        return candidates.takeWhile { candidate ->
            remaining -= PacketSize.of(candidate.update)
            remaining >= 0
        }
    }

    private fun withTransmissionsCounted(state: MembershipState, chosen: List<QueuedUpdate>) =
        state.updates.builder().also { updates ->
            val limit = transmissionLimit(state.table.size)
            chosen.forEach { sent ->
                if (sent.transmissions + 1 >= limit) {
                    updates.remove(sent.update.id)
                } else {
                    updates[sent.update.id] = sent.copy(transmissions = sent.transmissions + 1)
                }
            }
        }.build()

    private fun transmissionLimit(members: Int): Int =
        ceil(settings.disseminationMultiplier * maxOf(1.0, log10(members + 1.0))).toInt()
}
