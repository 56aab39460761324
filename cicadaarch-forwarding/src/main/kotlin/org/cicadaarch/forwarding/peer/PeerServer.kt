package org.cicadaarch.forwarding.peer

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.cicadaarch.dispatch.observation.ObservationScope
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.fleet.PrefixWatcher
import org.cicadaarch.forwarding.http.EndpointRequest
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreVersion
import org.cicadaarch.store.StoreEra
import org.cicadaarch.store.UntrustedJson

/**
 * Responds to the long polls of other routers: at once if this one has an update for the sender or does not watch the
 * store, otherwise soon after an update arrives, when it stops watching, or when the poll's waiting time is over.
 * Updates in quick succession are sent together, and senders with the same versions share one serialized response.
 * Polls beyond [MAX_PENDING_POLLS] do not wait.
 *
 * Polls may carry what their senders observed, and ask for what [aggregator] merged of that.
 */
internal class PeerServer(
    private val scheduler: TaskScheduler,
    private val directory: PeerDirectory,
    private val prefixWatchers: Map<String, PrefixWatcher>,
    private val aggregator: ObservationAggregator,
    private val storeEra: StoreEra,
) {
    private val pending = LinkedHashSet<PendingPoll>()
    private var isResponseScheduled = false
    private var livePeers = emptyList<String>()
    private var livePeersExpireAt: Timestamp? = null

    init {
        prefixWatchers.values.forEach {
            it.onNewVersion = ::scheduleResponses
            it.onWatchEnded = ::respondToAll
        }
        aggregator.onRise = { scope -> respondTo { it.scope == scope } }
    }

    /** Handles a [request] of another router. [respond] is called once, at once or later. */
    fun onRequest(request: EndpointRequest, respond: (HttpReply) -> Unit) {
        val query = QueryStringDecoder(request.uri)
        if (query.path() != PeerQuery.PATH) return respond(HttpReply(HttpResponseStatus.NOT_FOUND))
        val parameters = query.parameters().mapValues { it.value.first() }
        val sender = parameters[PeerQuery.FROM]?.let { PeerQuery.parseAddress(it) }
        sender?.let { directory.recordContact(it, scheduler.now()) }
        if (request.body.isNotEmpty()) readReport(request.body, sender)
        val scope = parameters[PeerQuery.OBSERVATIONS]?.let { name ->
            ObservationScope.entries.find { it.name == name }
        }
        val numbers = parameters.mapNotNull { (key, value) -> value.toLongOrNull()?.let { key to it } }.toMap()
        numbers[PeerQuery.STORE_ERA]?.let { storeEra.observe(it) }
        val waitMillis = numbers[PeerQuery.WAIT]?.coerceIn(0, PeerQuery.MAX_WAIT.inWholeMilliseconds) ?: 0
        val poll = PendingPoll(versionsIn(numbers), scope, receivedAt = scheduler.now(), respond)
        val mayWait = waitMillis > 0 && isWatchingStore() && pending.size < MAX_PENDING_POLLS
        if (!mayWait || hasUpdatesFor(poll)) return respondTo(poll, body(contentOf(poll)))
        pending += poll
        scheduler.schedule(waitMillis.milliseconds) {
            if (pending.remove(poll)) respondTo(poll, body(contentOf(poll)))
        }
    }

    /**
     * The versions in a poll, by prefix. A router of an earlier version of the program states no eras and compares
     * revisions only, so it is sent what has a higher one.
     */
    private fun versionsIn(numbers: Map<String, Long>): Map<String, StoreVersion> =
        prefixWatchers.entries.mapNotNull { (prefix, watcher) ->
            val revision = numbers[prefix] ?: return@mapNotNull null
            prefix to StoreVersion(numbers[PeerQuery.eraOf(prefix)] ?: watcher.state.version.era, revision)
        }.toMap()

    private fun scheduleResponses() {
        if (isResponseScheduled || pending.isEmpty()) return
        isResponseScheduled = true
        scheduler.schedule(BATCH_DELAY, ::respondToPending)
    }

    private fun respondToPending() {
        isResponseScheduled = false
        respondTo { hasUpdatesFor(it) }
    }

    private fun respondTo(isDue: (PendingPoll) -> Boolean) {
        val due = pending.filter { isDue(it) }
        pending.removeAll(due.toSet())
        due.groupBy { contentOf(it) }.forEach { (content, polls) ->
            val body = body(content)
            polls.forEach { respondTo(it, body) }
        }
    }

    /** Others must learn at once that this router no longer watches for them. */
    private fun respondToAll() = respondTo { true }

    private fun respondTo(poll: PendingPoll, body: String) =
        poll.respond(HttpReply(HttpResponseStatus.OK, body, "application/json"))

    private fun contentOf(poll: PendingPoll): Content {
        val held = (scheduler.now() - poll.receivedAt).inWholeMilliseconds
        return Content(poll.versions, poll.scope, heldMillis = held - held % HELD_STEP_MILLIS)
    }

    private fun body(content: Content): String {
        val summary = content.scope?.let { aggregator.summary(it) }
        return Json.encodeToString(
            PeerResponse(
                routers = livePeerAddresses(),
                updates = updatesFor(content.versions),
                isWatchingStore = isWatchingStore(),
                observations = summary?.let { SummaryMessage.of(it) },
                heldMillis = summary?.let { content.heldMillis },
                storeEra = storeEra.current,
            ),
        )
    }

    private fun readReport(body: String, reporter: RouterAddress?) = UntrustedJson.decode(body) {
        PeerJson.decodeFromString<ReportMessage>(it)
    }.fold(
        ifLeft = { error -> LogEvents.warn("peer-report-unreadable") { "error" to error } },
        ifRight = { aggregator.receive(it.toReport(), reporter) },
    )

    private fun livePeerAddresses(): List<String> {
        val now = scheduler.now()
        if (livePeersExpireAt.let { it == null || it <= now }) {
            livePeers = directory.live(now).take(MAX_LIVE_PEERS).map { it.toString() }
            livePeersExpireAt = now + LIVE_PEERS_TTL
        }
        return livePeers
    }

    private fun hasUpdatesFor(poll: PendingPoll): Boolean = prefixWatchers.any { (prefix, watcher) ->
        poll.versions[prefix]?.let { watcher.state.hasUpdateSince(it) } == true
    }

    private fun updatesFor(versions: Map<String, StoreVersion>): List<PrefixUpdateMessage> =
        prefixWatchers.mapNotNull { (prefix, watcher) ->
            versions[prefix]
                ?.let { watcher.state.updateSince(it, scheduler.now()) }
                ?.let { PrefixUpdateMessage.of(prefix, it) }
        }

    private fun isWatchingStore(): Boolean = prefixWatchers.values.all { it.state.isWatchingStore }

    /** A poll by a router that knows [versions], by prefix, and asks for observations of [scope]. */
    private class PendingPoll(
        val versions: Map<String, StoreVersion>,
        val scope: ObservationScope?,
        val receivedAt: Timestamp,
        val respond: (HttpReply) -> Unit,
    )

    /** What the response to a poll depends on. Polls with the same content share one response. */
    private data class Content(
        val versions: Map<String, StoreVersion>,
        val scope: ObservationScope?,
        val heldMillis: Long,
    )

    private companion object {
        const val MAX_LIVE_PEERS = PeerDirectory.MAX_CANDIDATES

        /** Several for each router of a large fleet. */
        const val MAX_PENDING_POLLS = 2_048

        /** Times for which polls were held count as equal within this, always as the shorter one. */
        const val HELD_STEP_MILLIS = 50L
        val LIVE_PEERS_TTL = 500.milliseconds
        val BATCH_DELAY = 100.milliseconds
    }
}
