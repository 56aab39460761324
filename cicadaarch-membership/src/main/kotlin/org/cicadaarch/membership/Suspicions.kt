package org.cicadaarch.membership

import kotlin.math.log10
import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentMap
import org.cicadaarch.membership.MembershipEffect.MemberSuspected
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Suspicion before removal: a suspected router may refute with a greater incarnation until its deadline
 * (Das, Gupta, Motivala: SWIM, 2002, section 4.2).
 */
internal class Suspicions(
    private val settings: MembershipSettings,
    private val registry: Registry,
    private val dissemination: Dissemination,
) {
    /** Suspects [member] at [incarnation], unless it is suspected already. */
    fun suspect(state: MembershipState, member: Member, incarnation: Long, now: Timestamp): MembershipStep {
        val id = member.info.id
        if (id in state.suspicions && incarnation <= member.incarnation) return Step(state)
        val accused = member.copy(incarnation = maxOf(incarnation, member.incarnation))
        val suspected = state.copy(
            table = if (accused == member) state.table else state.table.with(accused),
            suspicions = state.suspicions.put(id, Suspicion(deadline = now + timeToRefute(state))),
        )
        return Step(
            dissemination.queued(suspected, accused.toAccusation()),
            listOf(MemberSuspected(id, accused.incarnation)),
        )
    }

    /** Raises this router's own incarnation above the [accused] one and tells others. */
    fun refuteOwn(state: MembershipState, accused: Long): MembershipState {
        if (accused < state.incarnation) return state
        val refuted = state.copy(incarnation = accused + 1)
        return dissemination.queued(refuted, refuted.selfUpdate())
    }

    /** Removes the members whose time to refute is over. */
    fun expire(state: MembershipState, now: Timestamp): MembershipStep =
        state.suspicions.filterValues { it.deadline <= now }.keys.sorted().steps(state) { current, id ->
            val member = current.table[id]
            if (member == null) {
                Step(current.copy(suspicions = current.suspicions.remove(id)))
            } else {
                registry.remove(current, member, member.incarnation, RemovalReason.UNREACHABLE, now)
            }
        }

    /**
     * Marks the members whose time to refute is nearly over as doubtful, to be probed once more: this router may only
     * have missed the refutation. A router that did refute is probed by the few that missed it.
     */
    fun withLastProbes(state: MembershipState, now: Timestamp): MembershipState {
        val latest = now + settings.directTimeout + settings.indirectTimeout
        val nearlyOver = state.suspicions.filterValues { !it.probedAgain && it.deadline <= latest }
        if (nearlyOver.isEmpty()) return state
        val marked = state.suspicions.putAll(nearlyOver.mapValues { (_, it) -> it.copy(probedAgain = true) })
        return state.copy(suspicions = marked, doubtful = state.doubtful.addAll(nearlyOver.keys.sorted()))
    }

    /** Gives each suspected member [extension] more time. */
    fun extended(state: MembershipState, extension: Duration): MembershipState = state.copy(
        suspicions = state.suspicions.mapValues { (_, it) ->
            it.copy(deadline = it.deadline + extension)
        }.toPersistentMap(),
    )

    private fun timeToRefute(state: MembershipState): Duration {
        val digits = maxOf(1.0, log10(state.table.size + 1.0))
        return settings.probePeriod * (settings.suspicionMultiplier * digits * (state.health + 1))
    }
}
