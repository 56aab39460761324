package org.cicadaarch.membership

import org.cicadaarch.membership.MembershipEffect.PauseNoticed
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Detects from the gap between two ticks that this process was paused.
 *
 * The pause must not count against other routers: pending probes are cancelled, and the deadlines of all suspicions are
 * extended by the gap (following Lifeguard, 2017).
 */
internal class PauseDetector(
    private val settings: MembershipSettings,
    private val prober: Prober,
    private val suspicions: SuspicionTracker,
) {
    /** Records the tick at [now] and handles a pause that preceded it. */
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
