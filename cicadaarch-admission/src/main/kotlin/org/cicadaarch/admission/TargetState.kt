package org.cicadaarch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Timestamp

/**
 * What an admission owner keeps of one target.
 *
 * [unaccounted] are requests on the target that no permit here accounts for. [recentlyEnded] are attempts released lately, until
 * when that counts: a late copy of their request is not granted again. [meanHoldTime] is the smoothed time for which a
 * permit is held.
 */
data class TargetState(
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
    /** The requests that the target carries, as far as is known here. */
    val load: Int get() = permits.size + unaccounted

    private companion object {
        val INITIAL_HOLD_TIME = 3.seconds
    }
}
