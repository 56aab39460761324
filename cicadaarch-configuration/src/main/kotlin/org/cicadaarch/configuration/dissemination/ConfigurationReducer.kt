package org.cicadaarch.configuration.dissemination

import arrow.core.Either
import org.cicadaarch.configuration.DocumentError
import org.cicadaarch.configuration.FleetDocumentValidator
import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Install
import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Rejected
import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Send
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.DocumentRequested
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.DocumentSent
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionAnnounced
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionReported
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionRequested
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionsReported
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionsRequested
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Distributes the fleet document from the store to every router.
 *
 * A few routers per region watch the store. New revisions are announced along dissemination trees and in membership
 * digests, and routers then fetch the document from a peer. A router installs a document only if it is valid and its
 * revision is higher than that of the installed one.
 */
class ConfigurationReducer(private val settings: ConfigurationSettings = ConfigurationSettings()) {
    private val watcher = StoreWatcher(settings)
    private val fetcher = DocumentFetcher(settings)
    private val disseminator = RevisionDisseminator(settings)

    /** The initial state of a router that starts at [now] with [view]. */
    fun initial(view: RouterView, now: Timestamp): ConfigurationState {
        val state = ConfigurationState(
            view = view,
            topology = DisseminationTopology.of(view, settings),
            watch = WatchProgress(nextCallAt = now),
            lastTick = now,
            nextAnnouncementAt = now,
            nextReportAt = now,
            nextPollAt = now,
            nextStatusRequestAt = now,
        )
        // Each router starts alone in its view and thus as a watcher. The delay keeps many routers that start at once
        // from all calling the store.
        val delay = settings.pollPeriod * state.random(settings.seed).nextDouble(MIN_START_DELAY_FACTOR, 1.0)
        return state.withNextDraw().copy(watch = WatchProgress(nextCallAt = now + delay))
    }

    /** Processes [event] at [now] and returns the new state and the requested effects. */
    fun reduce(
        state: ConfigurationState,
        event: ConfigurationEvent,
        now: Timestamp,
    ): Step<ConfigurationState, ConfigurationEffect> = when (event) {
        is ConfigurationEvent.Received -> onMessage(state, event.from, event.message, now)
        is ConfigurationEvent.RoutersChanged -> Step(onRoutersChanged(state, event.view))
        is ConfigurationEvent.DigestReceived -> fetcher.onRevisionReported(state, event.router, event.revision, now)
        is ConfigurationEvent.StoreCallCompleted -> watcher.onCallCompleted(state, event.token, event.result, now)
        is ConfigurationEvent.Parsed -> onParsed(state, event.revision, event.result, now)
        ConfigurationEvent.StatusRequested -> disseminator.requestRevisions(state, now)
        ConfigurationEvent.Tick -> onTick(state, now)
    }

    private fun onMessage(
        state: ConfigurationState,
        from: RouterId,
        message: ConfigurationMessage,
        now: Timestamp,
    ): ConfigurationStep = when (message) {
        is RevisionAnnounced -> onRevisionAnnounced(state, from, message.revision, now)
        is RevisionReported -> onRevisionReported(state, from, message.revision, now)
        is RevisionRequested -> Step(state, listOf(Send(from, RevisionReported(state.revision))))
        is DocumentRequested -> Step(state, listOf(Send(from, replyToDocumentRequest(state, message.above))))
        is DocumentSent -> onDocumentSent(state, from, message, now)
        is RevisionsRequested -> Step(state, listOf(Send(from, RevisionsReported(state.revisions))))
        is RevisionsReported -> onRevisionsReported(state, message.revisions, now)
    }

    private fun onRevisionAnnounced(
        state: ConfigurationState,
        from: RouterId,
        revision: Revision,
        now: Timestamp,
    ): ConfigurationStep {
        val reply = Send(from, RevisionReported(state.revision))
        val replied = if (revision <= state.revision) Step(state, listOf(reply)) else Step(state)
        return replied.then { fetcher.onRevisionReported(it, from, revision, now) }
    }

    // A peer without an installable revision replies to a fetch with its revision, which ends the fetch.
    private fun onRevisionReported(
        state: ConfigurationState,
        from: RouterId,
        revision: Revision,
        now: Timestamp,
    ): ConfigurationStep {
        val updated = if (state.canInstall(revision)) state else fetcher.clearFetch(state, from)
        return fetcher.onRevisionReported(updated, from, revision, now)
    }

    private fun replyToDocumentRequest(state: ConfigurationState, above: Revision): ConfigurationMessage {
        val installed = state.installed
        return when {
            installed == null || installed.revision <= above -> RevisionReported(state.revision)
            else -> DocumentSent(installed.revision, installed.document)
        }
    }

    private fun onDocumentSent(
        state: ConfigurationState,
        from: RouterId,
        message: DocumentSent,
        now: Timestamp,
    ): ConfigurationStep {
        val updated = fetcher.recordRevision(fetcher.clearFetch(state, from), from, message.revision)
        return installIfValid(updated, message.revision, message.document, now).then { fetcher.fetchIfIdle(it, now) }
    }

    private fun onRevisionsReported(
        state: ConfigurationState,
        revisions: Map<RouterId, Revision>,
        now: Timestamp,
    ): ConfigurationStep {
        val others = revisions.filterKeys { it != state.view.self && it in state.view.routers }
        val updated = others.entries.fold(state) { next, (router, revision) ->
            fetcher.recordRevision(next, router, revision)
        }
        return fetcher.fetchIfIdle(updated, now)
    }

    private fun onRoutersChanged(state: ConfigurationState, view: RouterView): ConfigurationState = state.copy(
        view = view,
        topology = DisseminationTopology.of(view, settings),
        peers = state.peers.builder().apply { keys.retainAll(view.routers.keys) }.build(),
    )

    private fun onParsed(
        state: ConfigurationState,
        revision: Revision,
        result: Either<List<DocumentError>, FleetDocument>,
        now: Timestamp,
    ): ConfigurationStep {
        val parsed = state.copy(parsing = state.parsing.remove(revision))
        return result.fold(
            ifLeft = { errors -> reject(parsed, revision, errors) },
            ifRight = { document -> installIfValid(parsed, revision, document, now) },
        )
    }

    private fun installIfValid(
        state: ConfigurationState,
        revision: Revision,
        document: FleetDocument,
        now: Timestamp,
    ): ConfigurationStep {
        if (!state.canInstall(revision)) return Step(state)
        val errors = FleetDocumentValidator.validate(document)
        return if (errors.isEmpty()) install(state, revision, document, now) else reject(state, revision, errors)
    }

    private fun install(
        state: ConfigurationState,
        revision: Revision,
        document: FleetDocument,
        now: Timestamp,
    ): ConfigurationStep {
        val installed = state.copy(installed = InstalledDocument(revision, document))
        return Step(installed, listOf(Install(document, revision))).then { disseminator.onInstalled(it, now) }
    }

    private fun reject(state: ConfigurationState, revision: Revision, errors: List<DocumentError>): ConfigurationStep {
        if (revision in state.rejected) return Step(state)
        val rejected = state.rejected.add(revision).let { if (it.size > MAX_REJECTED) it.removeAt(0) else it }
        return Step(state.copy(rejected = rejected), listOf(Rejected(revision, errors)))
    }

    private fun onTick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val wasPaused = now - state.lastTick > settings.pauseThreshold
        val ticked = state.copy(lastTick = now)
        val polled = if (wasPaused) fetcher.pollPeers(ticked, now) else Step(ticked)
        return polled
            .then { watcher.onTick(it, now) }
            .then { fetcher.onTick(it, now) }
            .then { disseminator.onTick(it, now) }
    }

    private companion object {
        const val MAX_REJECTED = 16
        const val MIN_START_DELAY_FACTOR = 0.5
    }
}
