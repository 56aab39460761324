package org.cicadaarch.membership

import kotlin.time.Duration
import org.cicadaarch.membership.MembershipEffect.MemberJoined
import org.cicadaarch.membership.MembershipEffect.MemberRemoved
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Adds, updates and removes members, and keeps tombstones and the removal history of addresses.
 */
internal class MemberRegistry(private val settings: MembershipSettings, private val dissemination: Dissemination) {
    /** Adds router [info] as a member, and queues an update about it if [disseminates]. */
    fun join(
        state: MembershipState,
        info: RouterInfo,
        incarnation: Long,
        disseminates: Boolean,
        now: Timestamp,
    ): MembershipStep {
        val member = Member(info, incarnation, eligibleFrom = now + probationTime(state, info.address, now))
        val joined = state.copy(
            table = state.table.with(member),
            tombstones = state.tombstones.remove(info.id),
            probeOrder = state.probeOrder.add(info.id),
        )
        return Step(enqueueIf(disseminates, joined, member.toUpdate()), listOf(MemberJoined(info)))
    }

    /** Replaces the record of a member by one of a higher incarnation, which refutes any suspicion. */
    fun update(state: MembershipState, newer: Member, disseminates: Boolean): MembershipStep {
        val id = newer.info.id
        val updated = state.copy(
            table = state.table.with(newer),
            suspicions = state.suspicions.remove(id),
        )
        val refuted = MembershipEffect.SuspicionRefuted(id, newer.incarnation).takeIf { id in state.suspicions }
        return Step(enqueueIf(disseminates, updated, newer.toUpdate()), listOfNotNull(refuted))
    }

    /** Removes [member] at [incarnation] for [reason] and queues an update about it. */
    fun remove(
        state: MembershipState,
        member: Member,
        incarnation: Long,
        reason: RemovalReason,
        now: Timestamp,
    ): MembershipStep {
        val id = member.info.id
        val departed = reason != RemovalReason.UNREACHABLE
        val tombstone = Tombstone(member.info, incarnation, removedAt = now, departed = departed)
        val removed = state.copy(
            table = state.table.without(id),
            tombstones = state.tombstones.put(id, tombstone),
            removals = if (departed) state.removals else removalsWith(state, member.info.address, now),
            suspicions = state.suspicions.remove(id),
            revisions = state.revisions.remove(id),
            helperByMember = state.helperByMember.remove(id),
        )
        return Step(dissemination.enqueue(removed, tombstone.toUpdate()), listOf(MemberRemoved(member.info, reason)))
    }

    /** Drops tombstones and removal histories past their retention time, if cleanup is due. */
    fun cleanup(state: MembershipState, now: Timestamp): MembershipState {
        if (now < state.schedule.cleanup) return state
        val expiredTombstones = state.tombstones.filterValues { it.removedAt + settings.tombstoneRetention < now }.keys
        val expiredRemovals = state.removals
            .filterValues { it.lastRemovedAt + settings.removalHistoryRetention < now }
            .keys
        return state.copy(
            tombstones = state.tombstones.builder().apply { keys.removeAll(expiredTombstones) }.build(),
            removals = state.removals.builder().apply { keys.removeAll(expiredRemovals) }.build(),
            schedule = state.schedule.copy(cleanup = now + settings.probationPeriod),
        )
    }

    private fun enqueueIf(disseminates: Boolean, state: MembershipState, update: MemberUpdate): MembershipState =
        if (disseminates) dissemination.enqueue(state, update) else state

    private fun removalsWith(state: MembershipState, address: RouterAddress, now: Timestamp) =
        state.removals.put(address, RemovalHistory(recentRemovals(state, address, now) + 1, lastRemovedAt = now))

    private fun probationTime(state: MembershipState, address: RouterAddress, now: Timestamp): Duration {
        val removals = recentRemovals(state, address, now)
        if (removals == 0) return Duration.ZERO
        val doublings = minOf(removals - 1, MAXIMUM_DOUBLINGS)
        return minOf(settings.probationPeriod * (1 shl doublings), settings.probationPeriodLimit)
    }

    private fun recentRemovals(state: MembershipState, address: RouterAddress, now: Timestamp): Int {
        val history = state.removals[address] ?: return 0
        return if (history.lastRemovedAt + settings.removalHistoryRetention < now) 0 else history.removals
    }

    private companion object {
        /** Bounds the number of doublings, so that the factor does not overflow. */
        const val MAXIMUM_DOUBLINGS = 16
    }
}
