package org.cicadaarch.membership

import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Merges updates from other routers: a higher incarnation overrides, and at equal ones the more severe status does.
 *
 * A removal is applied only if this router already suspects the member; otherwise it queues a priority probe of the
 * member. Without this rule, the two sides of a healed partition between regions would remove each other's members.
 */
internal class UpdateMerger(
    private val registry: MemberRegistry,
    private val suspicions: SuspicionTracker,
    private val dissemination: Dissemination,
    private val prober: Prober,
) {
    /** Applies [updates] received by gossip and disseminates further those that change the state. */
    fun apply(state: MembershipState, updates: List<MemberUpdate>, now: Timestamp): MembershipStep =
        updates.foldSteps(state) { current, update -> applyUpdate(current, update, now) }

    /** Applies only the [updates] that accuse this router itself. */
    fun applyAccusationsOfSelf(state: MembershipState, updates: List<MemberUpdate>): MembershipState =
        updates.filter { it.id == state.self.id }.fold(state) { current, update -> refuteIfAccused(current, update) }

    /**
     * Applies [records] from an anti-entropy exchange.
     *
     * Records of live routers are not disseminated further. A removal of another router only queues a priority probe.
     */
    fun applyRecords(state: MembershipState, records: List<MemberUpdate>, now: Timestamp): MembershipStep =
        records.foldSteps(state) { current, record ->
            when (record.status) {
                MemberStatus.ALIVE -> applyAlive(current, record, disseminates = false, now)
                MemberStatus.DEPARTED -> applyDeparted(current, record, RemovalReason.DEPARTED, now)
                MemberStatus.REMOVED, MemberStatus.SUSPECT -> Step(withPriorityProbe(current, record))
            }
        }

    private fun applyUpdate(state: MembershipState, update: MemberUpdate, now: Timestamp): MembershipStep = when {
        update.id == state.self.id -> Step(refuteIfAccused(state, update))
        update.status == MemberStatus.ALIVE -> applyAlive(state, update, disseminates = true, now)
        update.status == MemberStatus.DEPARTED -> applyDeparted(state, update, RemovalReason.DEPARTED, now)
        else -> applyAccusation(state, update, now)
    }

    private fun refuteIfAccused(state: MembershipState, update: MemberUpdate): MembershipState =
        if (update.status == MemberStatus.ALIVE) state else suspicions.refute(state, update.incarnation)

    private fun applyAlive(
        state: MembershipState,
        update: MemberUpdate,
        disseminates: Boolean,
        now: Timestamp,
    ): MembershipStep {
        val info = update.profile?.toInfo(update.id) ?: return Step(state)
        val member = state.table[update.id]
        val tombstone = state.tombstones[update.id]
        return when {
            update.id == state.self.id -> Step(state)
            member != null -> updateMember(state, member, info, update, disseminates)
            tombstone != null && !tombstone.isOverriddenBy(update) -> Step(state)
            info.address == state.self.address -> Step(withPredecessorDeparted(state, info, update, now))
            state.table.at(info.address) != null -> prober.probeAddress(state, info.address, now)
            else -> registry.join(state, info, update.incarnation, disseminates, now)
        }
    }

    private fun updateMember(
        state: MembershipState,
        member: Member,
        info: RouterInfo,
        update: MemberUpdate,
        disseminates: Boolean,
    ): MembershipStep {
        if (update.incarnation <= member.incarnation) return Step(state)
        return registry.update(state, member.copy(info = info, incarnation = update.incarnation), disseminates)
    }

    /** Marks router [info] as departed: this router has its address now, so the earlier process has exited. */
    private fun withPredecessorDeparted(
        state: MembershipState,
        info: RouterInfo,
        update: MemberUpdate,
        now: Timestamp,
    ): MembershipState {
        val tombstone = Tombstone(info, update.incarnation, removedAt = now, departed = true)
        val updated = state.copy(tombstones = state.tombstones.put(info.id, tombstone))
        return dissemination.enqueue(updated, tombstone.toUpdate())
    }

    private fun applyDeparted(
        state: MembershipState,
        update: MemberUpdate,
        reason: RemovalReason,
        now: Timestamp,
    ): MembershipStep {
        val member = state.table[update.id] ?: return Step(state)
        return registry.remove(state, member, maxOf(update.incarnation, member.incarnation), reason, now)
    }

    private fun applyAccusation(state: MembershipState, update: MemberUpdate, now: Timestamp): MembershipStep {
        val member = state.table[update.id] ?: return Step(state)
        val isRemoval = update.status == MemberStatus.REMOVED
        return when {
            update.incarnation < member.incarnation -> Step(state)
            !isRemoval -> suspicions.suspect(state, member, update.incarnation, now)
            update.id !in state.suspicions -> Step(withPriorityProbe(state, update))
            else -> registry.remove(state, member, update.incarnation, RemovalReason.UNREACHABLE, now)
        }
    }

    private fun withPriorityProbe(state: MembershipState, record: MemberUpdate): MembershipState {
        if (record.id == state.self.id) return refuteIfAccused(state, record)
        val member = state.table[record.id] ?: return state
        val isRedundant = record.incarnation < member.incarnation || record.id in state.priorityProbes
        return if (isRedundant) state else state.copy(priorityProbes = state.priorityProbes.add(record.id))
    }

    private fun Tombstone.isOverriddenBy(update: MemberUpdate): Boolean = !departed && update.incarnation > incarnation
}
