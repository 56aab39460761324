package org.cicadaarch.admission

import kotlin.math.ceil
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/**
 * The load bound of consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): a target takes at
 * most `ceil(multiple x (total + 1) x share of capacity)` requests, and never more than its capacity.
 */
internal object LoadBound {
    private val FRESH_FOR = 3.seconds
    private val DECAY = 10.seconds

    /** The most requests that the target may carry. */
    fun limit(load: TargetLoad, context: TargetContext, now: Timestamp): Int =
        minOf(context.target.capacity, bound(load, context, now, context.loadMultiple))

    /** The load below which the target takes a chat that has no prefix here yet. */
    fun newChatLimit(load: TargetLoad, context: TargetContext, settings: AdmissionSettings, now: Timestamp): Int =
        bound(load, context, now, minOf(settings.newChatLoadMultiple, context.loadMultiple))

    /** Whether the group has no free slot as far as the aggregator knows. */
    fun saturated(load: TargetLoad, context: TargetContext, now: Timestamp): Boolean {
        val mean = context.mean ?: return load.carried >= context.target.capacity
        return mean.roomy.isEmpty() || total(load, context, now) + 1 > knownCapacity(load, context)
    }

    private fun bound(load: TargetLoad, context: TargetContext, now: Timestamp, multiple: Double): Int {
        val share = context.target.capacity.toDouble() / knownCapacity(load, context)
        return ceil(multiple * (total(load, context, now) + 1) * share - ROUNDING).toInt()
    }

    /**
     * The group's total with the target's own changes since its last count. Once the aggregator is silent, the total
     * moves towards what it is if all targets are loaded as this one.
     */
    private fun total(load: TargetLoad, context: TargetContext, now: Timestamp): Double {
        val likeThis = load.carried * knownCapacity(load, context) / context.target.capacity.toDouble()
        val mean = context.mean ?: return likeThis
        val known = (mean.total + load.carried - (load.reported?.inFlight ?: 0)).toDouble()
        val silentFor = now - mean.heardAt - FRESH_FOR
        if (silentFor.isNegative()) return known
        return known + maxOf(0.0, likeThis - known) * minOf(1.0, silentFor / DECAY)
    }

    private fun knownCapacity(load: TargetLoad, context: TargetContext): Int {
        val mean = context.mean ?: return maxOf(context.groupSize.capacity, context.target.capacity)
        return maxOf(mean.capacity + if (load.reported == null) context.target.capacity else 0, context.target.capacity)
    }

    private const val ROUNDING = 1e-9
}
