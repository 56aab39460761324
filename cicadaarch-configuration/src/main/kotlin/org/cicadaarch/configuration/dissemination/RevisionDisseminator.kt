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
 * Offers the revision in force along the trees until the receivers are known to run it, and reports it to the
 * watchers of the region, who so know what all of its routers run.
 */
internal class RevisionDisseminator(private val settings: ConfigurationSettings) {
    /** Offers and reports a revision that has just come into force. */
    fun installed(state: ConfigurationState, now: Timestamp): ConfigurationStep =
        offer(state, now).then { report(it, now).then { reported -> Step(reportedAgainSoon(reported, now)) } }

    /** Repeats the offers that were not answered and the report, when they are due. */
    fun tick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        if (state.installed == null) return Step(state)
        val offered = if (state.nextAnnouncementAt <= now) offer(state, now) else Step(state)
        return offered.then { if (it.nextReportAt <= now) report(it, now) else Step(it) }
    }

    /** Asks one watcher of each region for the revisions of its routers, at most once a second. */
    fun collect(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        if (state.nextStatusRequestAt > now) return Step(state)
        val asked = state.topology.watchers.values.mapNotNull { watchers -> watchers.firstOrNull() } - state.view.self
        return Step(state.copy(nextStatusRequestAt = now + STATUS_PERIOD), asked.map { Send(it, RevisionsRequested) })
    }

    private fun offer(state: ConfigurationState, now: Timestamp): ConfigurationStep {
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

    private fun reportedAgainSoon(state: ConfigurationState, now: Timestamp) =
        state.copy(nextReportAt = now + SECOND_REPORT_DELAY)

    private fun regionalWatchers(state: ConfigurationState): List<RouterId> {
        val region = state.view.routers[state.view.self]?.region ?: return emptyList()
        return state.topology.watchers[region].orEmpty() - state.view.self
    }

    private companion object {
        val STATUS_PERIOD = 1.seconds

        // The first report may be lost; an operator waits for the count.
        val SECOND_REPORT_DELAY = 1.seconds
    }
}
