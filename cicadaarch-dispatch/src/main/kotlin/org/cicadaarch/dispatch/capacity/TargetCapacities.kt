package org.cicadaarch.dispatch.capacity

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * What this router knows of the capacities of targets: the estimates of the fleet as of [observedAt], or its own ones
 * if it has heard nothing from others for [LIFETIME].
 */
data class TargetCapacities(
    private val fleet: Map<TargetId, TargetCapacity> = emptyMap(),
    private val observedAt: Timestamp? = null,
    private val expected: ExpectedTimes = ExpectedTimes(),
    private val ownTimes: PersistentMap<TargetId, DecayingTimes> = persistentHashMapOf(),
    private val own: CapacityEstimates = CapacityEstimates(),
) {
    /** The capacity of each target that does not handle its usual load well. */
    fun limited(now: Timestamp): Map<TargetId, TargetCapacity> = if (isFleetKnown(now)) fleet else own.limited

    /** The age of the estimates, null if they are this router's own. */
    fun age(now: Timestamp): Duration? = observedAt?.let { now - it }.takeIf { isFleetKnown(now) }

    /**
     * The [time] to the first part of a response on [route] as a multiple of the expected one, which includes
     * [queueingTime]; null if that is not known.
     */
    fun relativeTime(route: String, uncachedTokens: Int, time: Duration, queueingTime: Duration): Double? =
        expected.of(route, uncachedTokens)?.let { maxOf(time, ExpectedTimes.MIN_TIME) / (it + queueingTime) }

    /** A copy that has learned that a response on [route] took [time]. */
    fun withResponse(route: String, uncachedTokens: Int, time: Duration): TargetCapacities =
        copy(expected = expected.with(route, uncachedTokens, time))

    /** A copy with [times] that this router observed of [target], one of [serviceTargets]. */
    fun withOwn(
        target: TargetId,
        times: RelativeTimes,
        serviceTargets: () -> Collection<TargetId>,
        now: Timestamp,
    ): TargetCapacities {
        val updated = ownTimes.put(target, (ownTimes[target] ?: DecayingTimes.empty(now)).plus(times, now))
        if (isFleetKnown(now)) return copy(ownTimes = updated, own = CapacityEstimates())
        val current = serviceTargets().associateWith { updated[it]?.at(now) ?: RelativeTimes() }
        return copy(ownTimes = updated, own = own.updated(current, now))
    }

    /** A copy with the estimates of the [fleet] as of [observedAt]. */
    fun withFleet(fleet: Map<TargetId, TargetCapacity>, observedAt: Timestamp): TargetCapacities =
        copy(fleet = fleet, observedAt = observedAt)

    /** A copy for the registered [targets] only. */
    fun retain(targets: Set<TargetId>): TargetCapacities {
        val times = ownTimes.builder()
        times.keys.retainAll(targets)
        return copy(ownTimes = times.build(), own = own.retain(targets))
    }

    private fun isFleetKnown(now: Timestamp): Boolean = observedAt != null && now - observedAt <= LIFETIME

    private companion object {
        /** Longer than the watching routers take to tell something new. */
        val LIFETIME = 3.seconds
    }
}
