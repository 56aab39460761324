package org.cicadaarch.membership

import org.cicadaarch.membership.MembershipEffect.PauseNoticed
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Notices by the gap between two ticks that the process was paused, and judges no other router by that time: probes
 * under way are forgotten and all deadlines of suspicions move by the gap (after Lifeguard, 2017).
 */
internal class PauseDetector(
    private val settings: MembershipSettings,
    private val prober: Prober,
    private val suspicions: SuspicionTracker,
) {
    /** Notes the tick at [now]. */
    fun recordTick(state: MembershipState, now: Timestamp): MembershipStep {
        val gap = now - state.schedule.lastTick
        val recorded = state.copy(schedule = state.schedule.copy(lastTick = now))
        if (gap < settings.pauseThreshold) return Step(recorded)
        val extended = suspicions.withExtendedDeadlines(prober.cancelAll(recorded), gap)
        val resumed = extended.copy(
            health = minOf(state.health + 1, settings.healthLimit),
            sync = state.sync.copy(next = 0),
        )
        return Step(resumed, listOf(PauseNoticed(gap.inWholeMilliseconds)))
    }
}
