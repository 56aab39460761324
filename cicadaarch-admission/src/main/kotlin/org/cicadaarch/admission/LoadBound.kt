package org.cicadaarch.admission

import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * The load bound of consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): a target takes at
 * most `ceil(multiple x (total + 1) x share of capacity)` requests, and never more than its capacity.
 */
internal object LoadBound {
    private val STALE_AFTER = 3.seconds
    private val EXTRAPOLATION_RAMP = 10.seconds

    /** The maximum number of requests in flight on the target. */
    fun limit(state: TargetAdmissionState, context: TargetContext, now: Timestamp): Int =
        minOf(context.target.capacity, bound(state, context, now, context.loadMultiple))

    /** The load below which the target accepts a chat whose prompt prefix it has not cached. */
    fun newChatLimit(
        state: TargetAdmissionState,
        context: TargetContext,
        settings: AdmissionSettings,
        now: Timestamp,
    ): Int = bound(state, context, now, minOf(settings.newChatLoadMultiple, context.loadMultiple))

    /** Whether the group has no free slot, by the aggregator's last report and this target's changes since then. */
    fun isSaturated(state: TargetAdmissionState, context: TargetContext, now: Timestamp): Boolean {
        val groupLoad = context.groupLoad ?: return state.load >= context.target.capacity
        return groupLoad.targetsWithFreeSlots.isEmpty() ||
            totalOf(state, context, now) + 1 > knownCapacityOf(state, context)
    }

    private fun bound(state: TargetAdmissionState, context: TargetContext, now: Timestamp, multiple: Double): Int {
        val share = context.target.capacity.toDouble() / knownCapacityOf(state, context)
        return ceil(multiple * (totalOf(state, context, now) + 1) * share - ROUNDING_TOLERANCE).toInt()
    }

    /**
     * The group's total load, including this target's changes since it last sent its count. When the aggregator has
     * been silent for [STALE_AFTER], the total rises within [EXTRAPOLATION_RAMP] to the one that results if all targets
     * have the same relative load as this one. It never falls below the last known total.
     */
    private fun totalOf(state: TargetAdmissionState, context: TargetContext, now: Timestamp): Double {
        val extrapolated = state.load * knownCapacityOf(state, context) / context.target.capacity.toDouble()
        val groupLoad = context.groupLoad ?: return extrapolated
        val known = (groupLoad.total + state.load - (state.sentCount?.inFlight ?: 0)).toDouble()
        val staleFor = now - groupLoad.receivedAt - STALE_AFTER
        if (staleFor.isNegative()) return known
        return known + maxOf(0.0, extrapolated - known) * minOf(1.0, staleFor / EXTRAPOLATION_RAMP)
    }

    /** The capacity of the targets that [totalOf] covers: the reported ones and this one. */
    private fun knownCapacityOf(state: TargetAdmissionState, context: TargetContext): Int {
        val groupLoad = context.groupLoad ?: return maxOf(context.groupSize.capacity, context.target.capacity)
        return maxOf(
            groupLoad.capacity + if (state.sentCount == null) context.target.capacity else 0,
            context.target.capacity,
        )
    }

    private const val ROUNDING_TOLERANCE = 1e-9
}
