package org.cicadaarch.configuration.dissemination

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Send
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionAnnounced
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionReported
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionsRequested
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Announces the installed revision along the dissemination trees until the receivers are known to run it, and reports
 * it to the watchers of the region, so that each watcher knows the revisions of all routers in its region.
 */
internal class RevisionDisseminator(private val settings: ConfigurationSettings) {
    /** Announces and reports a newly installed revision. */
    fun onInstalled(state: ConfigurationState, now: Timestamp): ConfigurationStep =
        announce(state, now).then { report(it, now).then { reported -> Step(scheduleSecondReport(reported, now)) } }

    /** Repeats unacknowledged announcements and the report when they are due. */
    fun onTick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        if (state.installed == null) return Step(state)
        val announced = if (state.nextAnnouncementAt <= now) announce(state, now) else Step(state)
        return announced.then { if (it.nextReportAt <= now) report(it, now) else Step(it) }
    }

    /** Requests the revisions of all routers from one watcher per region, at most once a second. */
    fun requestRevisions(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        if (state.nextStatusRequestAt > now) return Step(state)
        val firstWatchers = state.topology.watchers.values.mapNotNull { watchers -> watchers.firstOrNull() }
        return Step(
            state.copy(nextStatusRequestAt = now + MIN_STATUS_PERIOD),
            (firstWatchers - state.view.self).map { Send(it, RevisionsRequested) },
        )
    }

    private fun announce(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val receivers = state.topology.children + if (state.isWatcher) state.topology.roots else emptySet()
        val lagging = receivers.filter { (state.peers[it] ?: Revision.NONE) < state.revision }
        return Step(
            state.copy(nextAnnouncementAt = now + settings.announcementPeriod),
            lagging.map { Send(it, RevisionAnnounced(state.revision)) },
        )
    }

    private fun report(state: ConfigurationState, now: Timestamp): ConfigurationStep = Step(
        state.copy(nextReportAt = now + settings.reportPeriod),
        regionalWatchers(state).map { Send(it, RevisionReported(state.revision)) },
    )

    private fun scheduleSecondReport(state: ConfigurationState, now: Timestamp) =
        state.copy(nextReportAt = now + SECOND_REPORT_DELAY)

    private fun regionalWatchers(state: ConfigurationState): List<RouterId> {
        val region = state.view.routers[state.view.self]?.region ?: return emptyList()
        return state.topology.watchers[region].orEmpty() - state.view.self
    }

    private companion object {
        val MIN_STATUS_PERIOD = 1.seconds

        // The first report may be lost, and an operator waits for the number of routers that run a revision.
        val SECOND_REPORT_DELAY = 1.seconds
    }
}
