package org.cicadaarch.configuration.dissemination

import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Send
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.DocumentRequested
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionRequested
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Fetches a newer document from the routers that are known to run one, from one at a time.
 *
 * A router that starts or wakes from a pause first asks one router in each of several zones for its revision, and
 * fetches the newest.
 */
internal class DocumentFetcher(private val settings: ConfigurationSettings) {
    /** Notes that [router] runs [revision] and fetches it if it is news. */
    fun heard(state: ConfigurationState, router: RouterId, revision: Revision, now: Timestamp): ConfigurationStep =
        fetchIfIdle(noted(state, router, revision), now)

    /** The state that knows [router] to run [revision] at least. */
    fun noted(state: ConfigurationState, router: RouterId, revision: Revision): ConfigurationState {
        val known = state.peers[router] ?: Revision.NONE
        val peers = if (revision > known) state.peers.put(router, revision) else state.peers
        return state.copy(peers = peers, question = answeredBy(router, state.question))
    }

    /** Turns to another router when the asked one does not answer, and asks around while there is no document. */
    fun tick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val isDue = state.installed == null && state.nextPollAt <= now
        val step = if (isDue) pollPeers(state, now) else Step(state)
        return step.then { fetchIfIdle(it, now) }
    }

    /** Asks one router in each of several zones for its revision. */
    fun pollPeers(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val random = state.random(settings.seed)
        val asked = state.view.routers.values
            .filter { it.id != state.view.self }
            .groupBy { it.zone }
            .values
            .shuffled(random)
            .take(MAX_POLLED_ZONES)
            .map { it.random(random).id }
        val waiting = state.withNextDraw().copy(
            question = RevisionPoll(asked.toSet(), until = now + settings.pollTimeout),
            nextPollAt = now + settings.pollPeriod,
        )
        return Step(waiting, asked.map { Send(it, RevisionRequested) })
    }

    /** The state in which no answer of [router] is awaited. */
    fun finished(state: ConfigurationState, router: RouterId): ConfigurationState =
        if (state.fetch?.from == router) state.copy(fetch = null) else state

    /** Fetches from the best known router unless a fetch or a question is under way. */
    fun fetchIfIdle(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val isAsking = state.question != null && state.question.until > now && state.question.unanswered.isNotEmpty()
        val isFetching = state.fetch != null && state.fetch.deadline > now
        if (isAsking || isFetching) return Step(state)
        val holder = choosePeer(state) ?: return Step(state.copy(fetch = null, question = null))
        val fetch = FetchProgress(from = holder, deadline = now + settings.fetchTimeout)
        return Step(
            state.withNextDraw().copy(fetch = fetch, question = null),
            listOf(Send(holder, DocumentRequested(above = state.revision))),
        )
    }

    // Whoever let the last fetch time out comes last, and any holder of news will do then.
    private fun choosePeer(state: ConfigurationState): RouterId? {
        val holders = state.peers.filterValues(state::canInstall)
        val untried = holders - setOfNotNull(state.fetch?.from)
        val newest = untried.values.maxOrNull() ?: return holders.keys.firstOrNull()
        val preferred = if (state.fetch == null) untried.filterValues { it == newest } else untried
        return preferred.keys.sorted().random(state.random(settings.seed))
    }

    private fun answeredBy(router: RouterId, question: RevisionPoll?): RevisionPoll? =
        question?.copy(unanswered = question.unanswered - router)

    private companion object {
        const val MAX_POLLED_ZONES = 4
    }
}
