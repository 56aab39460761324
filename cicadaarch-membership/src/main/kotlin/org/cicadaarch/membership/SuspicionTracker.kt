package org.cicadaarch.membership

import kotlin.math.log10
import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentMap
import org.cicadaarch.membership.MembershipEffect.MemberSuspected
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * The suspicion subprotocol: a suspected router is removed unless it refutes with a higher incarnation before the
 * deadline (Das, Gupta, Motivala: SWIM, 2002, section 4.2).
 */
internal class SuspicionTracker(
    private val settings: MembershipSettings,
    private val registry: MemberRegistry,
    private val dissemination: Dissemination,
) {
    /** Suspects [member] at [incarnation], unless it is already suspected at this or a higher incarnation. */
    fun suspect(state: MembershipState, member: Member, incarnation: Long, now: Timestamp): MembershipStep {
        val id = member.info.id
        if (id in state.suspicions && incarnation <= member.incarnation) return Step(state)
        val accused = member.copy(incarnation = maxOf(incarnation, member.incarnation))
        val suspected = state.copy(
            table = if (accused == member) state.table else state.table.with(accused),
            suspicions = state.suspicions.put(id, Suspicion(deadline = now + suspicionTimeout(state))),
        )
        return Step(
            dissemination.enqueue(suspected, accused.toAccusation()),
            listOf(MemberSuspected(id, accused.incarnation)),
        )
    }

    /** Refutes an accusation of this router by raising its incarnation above [accusedIncarnation]. */
    fun refute(state: MembershipState, accusedIncarnation: Long): MembershipState {
        if (accusedIncarnation < state.incarnation) return state
        val refuted = state.copy(incarnation = accusedIncarnation + 1)
        return dissemination.enqueue(refuted, refuted.selfUpdate())
    }

    /** Removes the members whose suspicion timeout has passed. */
    fun expire(state: MembershipState, now: Timestamp): MembershipStep =
        state.suspicions.filterValues { it.deadline <= now }.keys.sorted().foldSteps(state) { current, id ->
            val member = current.table[id]
            if (member == null) {
                Step(current.copy(suspicions = current.suspicions.remove(id)))
            } else {
                registry.remove(current, member, member.incarnation, RemovalReason.UNREACHABLE, now)
            }
        }

    /**
     * Queues a last priority probe of the members whose suspicion is about to time out, because this router may have
     * missed the refutation. After a refutation, only the few routers that missed it send this probe.
     */
    fun withFinalProbes(state: MembershipState, now: Timestamp): MembershipState {
        val latest = now + settings.directTimeout + settings.indirectTimeout
        val nearDeadline = state.suspicions.filterValues { !it.finalProbeQueued && it.deadline <= latest }
        if (nearDeadline.isEmpty()) return state
        val marked = state.suspicions.putAll(nearDeadline.mapValues { (_, it) -> it.copy(finalProbeQueued = true) })
        return state.copy(suspicions = marked, priorityProbes = state.priorityProbes.addAll(nearDeadline.keys.sorted()))
    }

    /** Extends the deadlines of all suspicions by [extension]. */
    fun withExtendedDeadlines(state: MembershipState, extension: Duration): MembershipState = state.copy(
        suspicions = state.suspicions.mapValues { (_, it) ->
            it.copy(deadline = it.deadline + extension)
        }.toPersistentMap(),
    )

    private fun suspicionTimeout(state: MembershipState): Duration {
        val sizeFactor = maxOf(1.0, log10(state.table.size + 1.0))
        return settings.probePeriod * (settings.suspicionMultiplier * sizeFactor * (state.health + 1))
    }
}
