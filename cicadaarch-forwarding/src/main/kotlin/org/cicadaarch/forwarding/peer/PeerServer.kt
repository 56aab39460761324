package org.cicadaarch.forwarding.peer

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.fleet.PrefixWatcher
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.model.Timestamp

/**
 * Responds to the long polls of other routers: at once if this one has an update for the sender or does not watch the
 * store, otherwise soon after an update arrives, when it stops watching, or when the poll's waiting time is over.
 * Updates in quick succession are sent together, and senders with the same revisions share one serialized response.
 * Polls beyond [MAX_PENDING_POLLS] do not wait.
 */
internal class PeerServer(
    private val scheduler: TaskScheduler,
    private val directory: PeerDirectory,
    private val prefixWatchers: Map<String, PrefixWatcher>,
) {
    private val pending = LinkedHashSet<PeerPoll>()
    private var isResponseScheduled = false
    private var livePeers = emptyList<String>()
    private var livePeersExpireAt: Timestamp? = null

    init {
        prefixWatchers.values.forEach {
            it.onNewRevision = ::scheduleResponses
            it.onWatchEnded = ::respondToAll
        }
    }

    /** Handles a request for [uri] of another router. [respond] is called once, at once or later. */
    fun onRequest(uri: String, respond: (HttpReply) -> Unit) {
        val query = QueryStringDecoder(uri)
        if (query.path() != PeerQuery.PATH) return respond(HttpReply(HttpResponseStatus.NOT_FOUND))
        val parameters = query.parameters().mapValues { it.value.first() }
        parameters[PeerQuery.FROM]
            ?.let { PeerQuery.parseAddress(it) }
            ?.let { directory.recordContact(it, scheduler.now()) }
        val revisions = parameters.mapNotNull { (key, value) -> value.toLongOrNull()?.let { key to it } }.toMap()
        val waitMillis = revisions[PeerQuery.WAIT]?.coerceIn(0, PeerQuery.MAX_WAIT.inWholeMilliseconds) ?: 0
        val poll = PeerPoll(revisions, respond)
        val mayWait = waitMillis > 0 && isWatchingStore() && pending.size < MAX_PENDING_POLLS
        if (!mayWait || hasUpdatesFor(poll)) return respondTo(poll, body(poll))
        pending += poll
        scheduler.schedule(waitMillis.milliseconds) {
            if (pending.remove(poll)) respondTo(poll, body(poll))
        }
    }

    private fun scheduleResponses() {
        if (isResponseScheduled || pending.isEmpty()) return
        isResponseScheduled = true
        scheduler.schedule(BATCH_DELAY, ::respondToPending)
    }

    private fun respondToPending() {
        isResponseScheduled = false
        val due = pending.filter { hasUpdatesFor(it) }.groupBy { it.revisions }
        due.values.flatten().forEach { pending.remove(it) }
        due.values.forEach { equalPolls ->
            val body = body(equalPolls.first())
            equalPolls.forEach { respondTo(it, body) }
        }
    }

    /** Others must learn at once that this router no longer watches for them. */
    private fun respondToAll() {
        val polls = pending.toList()
        pending.clear()
        polls.forEach { respondTo(it, body(it)) }
    }

    private fun respondTo(poll: PeerPoll, body: String) =
        poll.respond(HttpReply(HttpResponseStatus.OK, body, "application/json"))

    private fun body(poll: PeerPoll): String =
        Json.encodeToString(PeerResponse(livePeerAddresses(), updatesFor(poll), isWatchingStore()))

    private fun livePeerAddresses(): List<String> {
        val now = scheduler.now()
        if (livePeersExpireAt.let { it == null || it <= now }) {
            livePeers = directory.live(now).take(MAX_LIVE_PEERS).map { it.toString() }
            livePeersExpireAt = now + LIVE_PEERS_TTL
        }
        return livePeers
    }

    private fun hasUpdatesFor(poll: PeerPoll): Boolean = prefixWatchers.any { (prefix, watcher) ->
        poll.revisions[prefix].let { it != null && it < watcher.state.revision }
    }

    private fun updatesFor(poll: PeerPoll): List<PrefixUpdateMessage> = prefixWatchers.mapNotNull { (prefix, watcher) ->
        poll.revisions[prefix]
            ?.let { watcher.state.updateSince(it, scheduler.now()) }
            ?.let { PrefixUpdateMessage.of(prefix, it) }
    }

    private fun isWatchingStore(): Boolean = prefixWatchers.values.all { it.state.isWatchingStore }

    /** A poll by a router that knows [revisions], by prefix. */
    private class PeerPoll(val revisions: Map<String, Long>, val respond: (HttpReply) -> Unit)

    private companion object {
        const val MAX_LIVE_PEERS = PeerDirectory.MAX_CANDIDATES

        /** Several for each router of a large fleet. */
        const val MAX_PENDING_POLLS = 2_048
        val LIVE_PEERS_TTL = 500.milliseconds
        val BATCH_DELAY = 100.milliseconds
    }
}
