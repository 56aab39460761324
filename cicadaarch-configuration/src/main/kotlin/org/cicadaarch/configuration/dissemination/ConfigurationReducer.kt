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
 * Brings the fleet document from the store into force on every router.
 *
 * A few routers of each region watch the store; a new revision passes along trees and is also heard of in the
 * membership's digests. A document comes into force only if it is valid and its revision is above the one in force.
 */
class ConfigurationReducer(private val settings: ConfigurationSettings = ConfigurationSettings()) {
    private val watcher = StoreWatcher(settings)
    private val fetcher = DocumentFetcher(settings)
    private val disseminator = RevisionDisseminator(settings)

    /** The state of a router that starts at [now] and knows of [view]. */
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
        // Many routers may start at once, each at first alone in its view and so a watcher.
        val delay = settings.pollPeriod * state.random(settings.seed).nextDouble(MIN_START_DELAY_FACTOR, 1.0)
        return state.withNextDraw().copy(watch = WatchProgress(nextCallAt = now + delay))
    }

    /** The state and effects after [event] at [now]. */
    fun reduce(
        state: ConfigurationState,
        event: ConfigurationEvent,
        now: Timestamp,
    ): Step<ConfigurationState, ConfigurationEffect> = when (event) {
        is ConfigurationEvent.Received -> received(state, event.from, event.message, now)
        is ConfigurationEvent.RoutersChanged -> Step(routersChanged(state, event.view))
        is ConfigurationEvent.DigestReceived -> fetcher.heard(state, event.router, event.revision, now)
        is ConfigurationEvent.StoreCallCompleted -> watcher.answered(state, event.token, event.result, now)
        is ConfigurationEvent.Parsed -> parsed(state, event.revision, event.result, now)
        ConfigurationEvent.StatusRequested -> disseminator.collect(state, now)
        ConfigurationEvent.Tick -> tick(state, now)
    }

    private fun received(
        state: ConfigurationState,
        from: RouterId,
        message: ConfigurationMessage,
        now: Timestamp,
    ): ConfigurationStep = when (message) {
        is RevisionAnnounced -> offered(state, from, message.revision, now)
        is RevisionReported -> held(state, from, message.revision, now)
        is RevisionRequested -> Step(state, listOf(Send(from, RevisionReported(state.revision))))
        is DocumentRequested -> Step(state, listOf(Send(from, documentAbove(state, message.above))))
        is DocumentSent -> documentCame(state, from, message, now)
        is RevisionsRequested -> Step(state, listOf(Send(from, RevisionsReported(state.revisions))))
        is RevisionsReported -> revisionsCame(state, message.revisions, now)
    }

    private fun offered(
        state: ConfigurationState,
        from: RouterId,
        revision: Revision,
        now: Timestamp,
    ): ConfigurationStep {
        val answer = Send(from, RevisionReported(state.revision))
        val answered = if (revision <= state.revision) Step(state, listOf(answer)) else Step(state)
        return answered.then { fetcher.heard(it, from, revision, now) }
    }

    // An answer that holds no news also ends a fetch from its sender.
    private fun held(state: ConfigurationState, from: RouterId, revision: Revision, now: Timestamp): ConfigurationStep =
        fetcher.heard(if (state.canInstall(revision)) state else fetcher.finished(state, from), from, revision, now)

    private fun documentAbove(state: ConfigurationState, above: Revision): ConfigurationMessage {
        val installed = state.installed
        return when {
            installed == null || installed.revision <= above -> RevisionReported(state.revision)
            else -> DocumentSent(installed.revision, installed.document)
        }
    }

    private fun documentCame(
        state: ConfigurationState,
        from: RouterId,
        message: DocumentSent,
        now: Timestamp,
    ): ConfigurationStep {
        val noted = fetcher.noted(fetcher.finished(state, from), from, message.revision)
        return offerDocument(noted, message.revision, message.document, now).then { fetcher.fetchIfIdle(it, now) }
    }

    private fun revisionsCame(
        state: ConfigurationState,
        revisions: Map<RouterId, Revision>,
        now: Timestamp,
    ): ConfigurationStep {
        val others = revisions.filterKeys { it != state.view.self && it in state.view.routers }
        val noted = others.entries.fold(state) { next, (router, revision) -> fetcher.noted(next, router, revision) }
        return fetcher.fetchIfIdle(noted, now)
    }

    private fun routersChanged(state: ConfigurationState, view: RouterView): ConfigurationState = state.copy(
        view = view,
        topology = DisseminationTopology.of(view, settings),
        peers = state.peers.builder().apply { keys.retainAll(view.routers.keys) }.build(),
    )

    private fun parsed(
        state: ConfigurationState,
        revision: Revision,
        result: Either<List<DocumentError>, FleetDocument>,
        now: Timestamp,
    ): ConfigurationStep {
        val done = state.copy(parsing = state.parsing.remove(revision))
        return result.fold(
            ifLeft = { errors -> reject(done, revision, errors) },
            ifRight = { document -> offerDocument(done, revision, document, now) },
        )
    }

    private fun offerDocument(
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
        return Step(installed, listOf(Install(document, revision))).then { disseminator.installed(it, now) }
    }

    private fun reject(state: ConfigurationState, revision: Revision, errors: List<DocumentError>): ConfigurationStep {
        if (revision in state.rejected) return Step(state)
        val rejected = state.rejected.add(revision).let { if (it.size > MAX_REJECTED) it.removeAt(0) else it }
        return Step(state.copy(rejected = rejected), listOf(Rejected(revision, errors)))
    }

    private fun tick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val wasPaused = now - state.lastTick > settings.pauseThreshold
        val ticked = state.copy(lastTick = now)
        val asked = if (wasPaused) fetcher.pollPeers(ticked, now) else Step(ticked)
        return asked
            .then { watcher.tick(it, now) }
            .then { fetcher.tick(it, now) }
            .then { disseminator.tick(it, now) }
    }

    private companion object {
        const val MAX_REJECTED = 16
        const val MIN_START_DELAY_FACTOR = 0.5
    }
}
