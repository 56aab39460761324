package org.cicadaarch.membership

import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Applies what other routers tell of third ones: greater incarnations win, and at the same one the worse status.
 *
 * A removal told by others counts only where the member is suspected already; else the member becomes doubtful and is
 * probed first. After a cut between regions each side tells the other that its routers are removed.
 */
internal class UpdateMerger(
    private val registry: Registry,
    private val suspicions: Suspicions,
    private val dissemination: Dissemination,
    private val prober: Prober,
) {
    /** Applies [updates] that came as news and passes on those that are news here too. */
    fun apply(state: MembershipState, updates: List<MemberUpdate>, now: Timestamp): MembershipStep =
        updates.steps(state) { current, update -> applyNews(current, update, now) }

    /** Applies only those of [updates] that accuse this router itself. */
    fun applyOwn(state: MembershipState, updates: List<MemberUpdate>): MembershipState =
        updates.filter { it.id == state.self.id }.fold(state) { current, update -> heardOfSelf(current, update) }

    /** Applies [records] of another router's table; a removal there makes the member doubtful, to be probed first. */
    fun applyRecords(state: MembershipState, records: List<MemberUpdate>, now: Timestamp): MembershipStep =
        records.steps(state) { current, record ->
            when (record.status) {
                MemberStatus.ALIVE -> alive(current, record, spread = false, now)
                MemberStatus.DEPARTED -> departed(current, record, RemovalReason.DEPARTED, now)
                MemberStatus.REMOVED, MemberStatus.SUSPECT -> Step(withDoubt(current, record))
            }
        }

    private fun applyNews(state: MembershipState, update: MemberUpdate, now: Timestamp): MembershipStep = when {
        update.id == state.self.id -> Step(heardOfSelf(state, update))
        update.status == MemberStatus.ALIVE -> alive(state, update, spread = true, now)
        update.status == MemberStatus.DEPARTED -> departed(state, update, RemovalReason.DEPARTED, now)
        else -> accused(state, update, now)
    }

    private fun heardOfSelf(state: MembershipState, update: MemberUpdate): MembershipState =
        if (update.status == MemberStatus.ALIVE) state else suspicions.refuteOwn(state, update.incarnation)

    private fun alive(state: MembershipState, update: MemberUpdate, spread: Boolean, now: Timestamp): MembershipStep {
        val info = update.profile?.toInfo(update.id) ?: return Step(state)
        val member = state.table[update.id]
        val tombstone = state.tombstones[update.id]
        return when {
            update.id == state.self.id -> Step(state)
            member != null -> renewed(state, member, info, update, spread)
            tombstone != null && !tombstone.yieldsTo(update) -> Step(state)
            info.address == state.self.address -> Step(predecessorDeparted(state, info, update, now))
            state.table.at(info.address) != null -> prober.contact(state, info.address, now)
            else -> registry.join(state, info, update.incarnation, spread, now)
        }
    }

    private fun renewed(
        state: MembershipState,
        member: Member,
        info: RouterInfo,
        update: MemberUpdate,
        spread: Boolean,
    ): MembershipStep {
        if (update.incarnation <= member.incarnation) return Step(state)
        return registry.renew(state, member.copy(info = info, incarnation = update.incarnation), spread)
    }

    /** This process has the address now, so the process that had it before is gone. */
    private fun predecessorDeparted(
        state: MembershipState,
        info: RouterInfo,
        update: MemberUpdate,
        now: Timestamp,
    ): MembershipState {
        val tombstone = Tombstone(info, update.incarnation, removedAt = now, departed = true)
        val buried = state.copy(tombstones = state.tombstones.put(info.id, tombstone))
        return dissemination.queued(buried, tombstone.toUpdate())
    }

    private fun departed(
        state: MembershipState,
        update: MemberUpdate,
        reason: RemovalReason,
        now: Timestamp,
    ): MembershipStep {
        val member = state.table[update.id] ?: return Step(state)
        return registry.remove(state, member, maxOf(update.incarnation, member.incarnation), reason, now)
    }

    private fun accused(state: MembershipState, update: MemberUpdate, now: Timestamp): MembershipStep {
        val member = state.table[update.id] ?: return Step(state)
        val removal = update.status == MemberStatus.REMOVED
        return when {
            update.incarnation < member.incarnation -> Step(state)
            !removal -> suspicions.suspect(state, member, update.incarnation, now)
            update.id !in state.suspicions -> Step(withDoubt(state, update))
            else -> registry.remove(state, member, update.incarnation, RemovalReason.UNREACHABLE, now)
        }
    }

    private fun withDoubt(state: MembershipState, record: MemberUpdate): MembershipState {
        if (record.id == state.self.id) return heardOfSelf(state, record)
        val member = state.table[record.id] ?: return state
        val known = record.incarnation < member.incarnation || record.id in state.doubtful
        return if (known) state else state.copy(doubtful = state.doubtful.add(record.id))
    }

    private fun Tombstone.yieldsTo(update: MemberUpdate): Boolean = !departed && update.incarnation > incarnation
}
