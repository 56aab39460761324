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
 * [foreign] are requests on the target that no permit here accounts for. [ended] are attempts released lately, until
 * when that counts: a late copy of their request is not granted again. [meanHold] is the smoothed time for which a
 * permit is held.
 */
data class TargetLoad(
    val ownedSince: Timestamp,
    val permits: PersistentMap<AttemptId, Permit> = persistentMapOf(),
    val queue: FairQueue = FairQueue(),
    val spills: SpillMemory = SpillMemory(),
    val foreign: Int = 0,
    val presumed: Boolean = false,
    val ended: PersistentMap<AttemptId, Timestamp> = persistentMapOf(),
    val dueTimes: DueTimes = DueTimes(),
    val recentPeak: RecentPeak = RecentPeak(),
    val meanHold: Duration = INITIAL_HOLD,
    val meanFirstToken: Duration = Duration.ZERO,
    val reported: TargetCount? = null,
    val reportedAt: Timestamp? = null,
    val blocked: Boolean = false,
) {
    /** The requests that the target carries, as far as is known here. */
    val carried: Int get() = permits.size + foreign

    private companion object {
        val INITIAL_HOLD = 3.seconds
    }
}
