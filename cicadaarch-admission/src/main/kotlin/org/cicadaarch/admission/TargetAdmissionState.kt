package org.cicadaarch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Timestamp

/**
 * The state that an admission owner keeps for one target.
 *
 * @property unaccounted the number of requests on the target for which this owner has no permit.
 * @property isUnaccountedEstimated whether [unaccounted] is an estimate made when this router became the owner.
 * @property recentlyEnded the attempts that were released lately, with the time until which a delayed copy of their
 * request is refused.
 * @property meanHoldTime the smoothed time between the grant and the release of a permit.
 * @property sentCount the count last sent to the load aggregator.
 * @property hasDeferredRequest whether a request could not be granted at once since [sentCount] was sent.
 */
data class TargetAdmissionState(
    val ownedSince: Timestamp,
    val permits: PersistentMap<AttemptId, Permit> = persistentMapOf(),
    val queue: FairQueue = FairQueue(),
    val chatLocations: ChatLocations = ChatLocations(),
    val unaccounted: Int = 0,
    val isUnaccountedEstimated: Boolean = false,
    val recentlyEnded: PersistentMap<AttemptId, Timestamp> = persistentMapOf(),
    val timers: TimerQueue = TimerQueue(),
    val recentPeak: RecentPeak = RecentPeak(),
    val meanHoldTime: Duration = INITIAL_HOLD_TIME,
    val meanTimeToFirstToken: Duration = Duration.ZERO,
    val sentCount: TargetCount? = null,
    val countSentAt: Timestamp? = null,
    val hasDeferredRequest: Boolean = false,
) {
    /** The number of requests in flight on the target, as far as this owner knows. */
    val load: Int get() = permits.size + unaccounted

    private companion object {
        val INITIAL_HOLD_TIME = 3.seconds
    }
}
