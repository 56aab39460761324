package org.cicadaarch.configuration.dissemination

import org.cicadaarch.configuration.dissemination.ConfigurationEffect.Send
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.DocumentRequested
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionRequested
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Fetches newer documents from peers that are known to run them, one request at a time.
 *
 * A router that has no document yet, or resumes after a process pause, first polls one router in each of several zones
 * for its revision and then fetches the newest.
 */
internal class DocumentFetcher(private val settings: ConfigurationSettings) {
    /** Records that [router] runs [revision], and fetches it if it can be installed. */
    fun onRevisionReported(
        state: ConfigurationState,
        router: RouterId,
        revision: Revision,
        now: Timestamp,
    ): ConfigurationStep = fetchIfIdle(recordRevision(state, router, revision), now)

    /** Records that [router] runs [revision] or a newer one. */
    fun recordRevision(state: ConfigurationState, router: RouterId, revision: Revision): ConfigurationState {
        val known = state.peers[router] ?: Revision.NONE
        val peers = if (revision > known) state.peers.put(router, revision) else state.peers
        return state.copy(peers = peers, poll = state.poll?.withReplyFrom(router))
    }

    /** Retries a timed-out fetch with another router, and polls peers periodically until a document is installed. */
    fun onTick(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val isDue = state.installed == null && state.nextPollAt <= now
        val step = if (isDue) pollPeers(state, now) else Step(state)
        return step.then { fetchIfIdle(it, now) }
    }

    /** Requests the revision of one router in each of several zones. */
    fun pollPeers(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val random = state.random(settings.seed)
        val polled = state.view.routers.values
            .filter { it.id != state.view.self }
            .groupBy { it.zone }
            .values
            .shuffled(random)
            .take(MAX_POLLED_ZONES)
            .map { it.random(random).id }
        val waiting = state.withNextDraw().copy(
            poll = RevisionPoll(polled.toSet(), deadline = now + settings.pollTimeout),
            nextPollAt = now + settings.pollPeriod,
        )
        return Step(waiting, polled.map { Send(it, RevisionRequested) })
    }

    /** Clears the pending fetch if it is from [router]. */
    fun clearFetch(state: ConfigurationState, router: RouterId): ConfigurationState =
        if (state.fetch?.from == router) state.copy(fetch = null) else state

    /**
     * Fetches from a peer with an installable document unless a fetch or a poll is pending, or the last one started
     * less than [ConfigurationSettings.minFetchInterval] ago: then the next tick does. A peer may answer at once, again
     * and again, and not with the document that it is known to run.
     */
    fun fetchIfIdle(state: ConfigurationState, now: Timestamp): ConfigurationStep {
        val isPolling = state.poll != null && state.poll.deadline > now && state.poll.pending.isNotEmpty()
        val isFetching = state.fetch != null && state.fetch.deadline > now
        if (isPolling || isFetching || now < state.nextFetchAt) return Step(state)
        val peer = choosePeer(state) ?: return Step(state.copy(fetch = null, poll = null))
        val fetch = FetchProgress(from = peer, deadline = now + settings.fetchTimeout)
        return Step(
            state.withNextDraw().copy(fetch = fetch, poll = null, nextFetchAt = now + settings.minFetchInterval),
            listOf(Send(peer, DocumentRequested(above = state.revision))),
        )
    }

    // The peer whose fetch timed out is chosen only if there is no other. After a timeout, any peer with an installable
    // revision is acceptable, not only those with the newest.
    private fun choosePeer(state: ConfigurationState): RouterId? {
        val candidates = state.peers.filterValues(state::canInstall)
        val untried = candidates - setOfNotNull(state.fetch?.from)
        val newest = untried.values.maxOrNull() ?: return candidates.keys.firstOrNull()
        val preferred = if (state.fetch == null) untried.filterValues { it == newest } else untried
        return preferred.keys.sorted().random(state.random(settings.seed))
    }

    private fun RevisionPoll.withReplyFrom(router: RouterId): RevisionPoll = copy(pending = pending - router)

    private companion object {
        const val MAX_POLLED_ZONES = 4
    }
}
