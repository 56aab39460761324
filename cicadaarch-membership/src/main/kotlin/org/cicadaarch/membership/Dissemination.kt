package org.cicadaarch.membership

import kotlin.math.ceil
import kotlin.math.log10
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * Spreads updates on the messages that are sent anyway, each a bounded number of times and the least sent first.
 */
internal class Dissemination(private val settings: MembershipSettings) {
    /** The state in which [update] replaces any queued update on the same router. */
    fun enqueue(state: MembershipState, update: MemberUpdate): MembershipState =
        state.copy(updates = state.updates.put(update.id, QueuedUpdate(update, state.schedule.lastTick)))

    /** The updates that fit in [bytes], without one on [except], and the state that has counted them as sent. */
    fun take(state: MembershipState, bytes: Int, except: RouterId?): Pair<MembershipState, List<MemberUpdate>> {
        if (state.updates.isEmpty()) return state to emptyList()
        val chosen = takeFitting(leastSentFirst(state).filter { it.update.id != except }, bytes)
        return state.copy(updates = withTransmissionsCounted(state, chosen)) to chosen.map { it.update }
    }

    /**
     * The state without accusations that waited too long: a router that was cut off must not accuse, once it is back,
     * all those that it had missed.
     */
    fun withoutExpiredAccusations(state: MembershipState, now: Timestamp): MembershipState {
        val expired = state.updates.values
            .filter { it.isAccusation() && it.queuedAt + settings.accusationLifetime < now }
        if (expired.isEmpty()) return state
        return state.copy(updates = state.updates.builder().apply { expired.forEach { remove(it.update.id) } }.build())
    }

    private fun QueuedUpdate.isAccusation(): Boolean =
        update.status == MemberStatus.SUSPECT || update.status == MemberStatus.REMOVED

    /** Departures go first, so that the next process at an address meets no conflict; ties are broken at random. */
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

    private fun withTransmissionsCounted(
        state: MembershipState,
        chosen: List<QueuedUpdate>,
    ) = state.updates.builder().also { updates ->
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
