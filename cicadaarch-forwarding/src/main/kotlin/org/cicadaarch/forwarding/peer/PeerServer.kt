package org.cicadaarch.forwarding.peer

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.forwarding.fleet.PrefixWatcher
import org.cicadaarch.forwarding.http.HttpEndpoint
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * Answers other routers, at once when this one knows something newer of the store than they do, else soon after it
 * learns of it or when the time that they wait is over. Changes that follow each other closely go out together, and
 * what is told to routers that know the same is written once.
 */
internal class PeerServer(
    private val self: RouterAddress,
    private val eventLoops: EventLoopGroup,
    private val eventLoop: EventLoop,
    private val directory: PeerDirectory,
    private val watchers: Map<String, PrefixWatcher>,
) {
    private val pending = LinkedHashSet<PeerPoll>()
    private var isResponseScheduled = false
    private var livePeers = emptyList<String>()
    private var livePeersExpireAt: Timestamp? = null

    init {
        watchers.values.forEach { it.onNewRevision = ::scheduleResponses }
    }

    /** Binds the address; throws when it is taken. */
    fun listen() = HttpEndpoint(self, eventLoops) { uri, respond -> onRequest(uri, respond) }.start()

    private fun onRequest(uri: String, respond: (HttpReply) -> Unit) {
        val query = QueryStringDecoder(uri)
        if (query.path() != PeerQuery.PATH) return respond(HttpReply(HttpResponseStatus.NOT_FOUND))
        val parameters = query.parameters().mapValues { it.value.first() }
        parameters[PeerQuery.FROM]
            ?.let { PeerQuery.parseAddress(it) }
            ?.let { directory.recordContact(it, NanoTimeClock.now()) }
        val revisions = parameters.mapNotNull { (key, value) -> value.toLongOrNull()?.let { key to it } }.toMap()
        val waitMillis = revisions[PeerQuery.WAIT]?.coerceIn(0, PeerQuery.MAX_WAIT.inWholeMilliseconds) ?: 0
        val poll = PeerPoll(revisions, respond)
        if (waitMillis == 0L || hasUpdatesFor(poll) || !isWatchingStore()) return respondTo(poll, body(poll))
        pending += poll
        eventLoop.schedule({
            if (pending.remove(poll)) respondTo(poll, body(poll))
        }, waitMillis, TimeUnit.MILLISECONDS)
    }

    private fun scheduleResponses() {
        if (isResponseScheduled || pending.isEmpty()) return
        isResponseScheduled = true
        eventLoop.schedule(::respondToPending, BATCH_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
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

    private fun respondTo(poll: PeerPoll, body: String) =
        poll.respond(HttpReply(HttpResponseStatus.OK, body, "application/json"))

    private fun body(poll: PeerPoll): String =
        Json.encodeToString(PeerResponse(livePeerAddresses(), updatesFor(poll), isWatchingStore()))

    private fun livePeerAddresses(): List<String> {
        val now = NanoTimeClock.now()
        if (livePeersExpireAt.let { it == null || it <= now }) {
            livePeers = directory.live(now).take(MAX_LIVE_PEERS).map { it.toString() }
            livePeersExpireAt = now + LIVE_PEERS_TTL
        }
        return livePeers
    }

    private fun hasUpdatesFor(poll: PeerPoll): Boolean = watchers.any { (prefix, watcher) ->
        poll.revisions[prefix].let { it != null && it < watcher.state.revision }
    }

    private fun updatesFor(poll: PeerPoll): List<PrefixUpdateMessage> = watchers.mapNotNull { (prefix, watcher) ->
        poll.revisions[prefix]
            ?.let { watcher.state.updateSince(it, NanoTimeClock.now()) }
            ?.let { PrefixUpdateMessage.of(prefix, it) }
    }

    private fun isWatchingStore(): Boolean = watchers.values.all { it.state.isWatchingStore }

    /** The revisions that a router knows, by prefix, and how to answer it. */
    private class PeerPoll(val revisions: Map<String, Long>, val respond: (HttpReply) -> Unit)

    private companion object {
        const val MAX_LIVE_PEERS = PeerDirectory.MAX_CANDIDATES
        val LIVE_PEERS_TTL = 500.milliseconds
        val BATCH_DELAY = 100.milliseconds
    }
}
