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

    /** The most requests that the target may carry. */
    fun limit(state: TargetState, context: TargetContext, now: Timestamp): Int =
        minOf(context.target.capacity, bound(state, context, now, context.loadMultiple))

    /** The load below which the target takes a chat that has no prefix here yet. */
    fun newChatLimit(state: TargetState, context: TargetContext, settings: AdmissionSettings, now: Timestamp): Int =
        bound(state, context, now, minOf(settings.newChatLoadMultiple, context.loadMultiple))

    /** Whether the group has no free slot as far as the aggregator knows. */
    fun isSaturated(state: TargetState, context: TargetContext, now: Timestamp): Boolean {
        val groupLoad = context.groupLoad ?: return state.load >= context.target.capacity
        return groupLoad.targetsWithFreeSlots.isEmpty() ||
            totalOf(state, context, now) + 1 > knownCapacityOf(state, context)
    }

    private fun bound(state: TargetState, context: TargetContext, now: Timestamp, multiple: Double): Int {
        val share = context.target.capacity.toDouble() / knownCapacityOf(state, context)
        return ceil(multiple * (totalOf(state, context, now) + 1) * share - ROUNDING_TOLERANCE).toInt()
    }

    /**
     * The group's total with the target's own changes since its last count. Once the aggregator is silent, the total
     * moves towards what it is if all targets are loaded as this one.
     */
    private fun totalOf(state: TargetState, context: TargetContext, now: Timestamp): Double {
        val extrapolated = state.load * knownCapacityOf(state, context) / context.target.capacity.toDouble()
        val groupLoad = context.groupLoad ?: return extrapolated
        val known = (groupLoad.total + state.load - (state.sentCount?.inFlight ?: 0)).toDouble()
        val staleFor = now - groupLoad.receivedAt - STALE_AFTER
        if (staleFor.isNegative()) return known
        return known + maxOf(0.0, extrapolated - known) * minOf(1.0, staleFor / EXTRAPOLATION_RAMP)
    }

    private fun knownCapacityOf(state: TargetState, context: TargetContext): Int {
        val groupLoad = context.groupLoad ?: return maxOf(context.groupSize.capacity, context.target.capacity)
        return maxOf(
            groupLoad.capacity + if (state.sentCount == null) context.target.capacity else 0,
            context.target.capacity,
        )
    }

    private const val ROUNDING_TOLERANCE = 1e-9
}
