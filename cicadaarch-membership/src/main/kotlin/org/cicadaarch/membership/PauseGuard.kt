package org.cicadaarch.membership

import org.cicadaarch.membership.MembershipEffect.PauseNoticed
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Notices by the gap between two ticks that the process was paused, and judges no other router by that time: probes
 * under way are forgotten and all deadlines of suspicions move by the gap (after Lifeguard, 2017).
 */
internal class PauseGuard(
    private val settings: MembershipSettings,
    private val prober: Prober,
    private val suspicions: Suspicions,
) {
    /** Notes the tick at [now]. */
    fun ticked(state: MembershipState, now: Timestamp): MembershipStep {
        val gap = now - state.schedule.lastTick
        val noted = state.copy(schedule = state.schedule.copy(lastTick = now))
        if (gap < settings.pauseThreshold) return Step(noted)
        val extended = suspicions.extended(prober.forgetAll(noted), gap)
        val resumed = extended.copy(
            health = minOf(state.health + 1, settings.healthLimit),
            sync = state.sync.copy(next = 0),
        )
        return Step(resumed, listOf(PauseNoticed(gap.inWholeMilliseconds)))
    }
}
