package org.cicadaarch.forwarding.peer

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.QueryStringEncoder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cicadaarch.forwarding.fleet.FollowRunner
import org.cicadaarch.forwarding.http.HttpEndpoint
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.HttpCall
import org.cicadaarch.store.HttpClient
import org.cicadaarch.store.HttpOutcome

/**
 * Exchanges values of the store with other routers, so that a router which the store refuses still learns of changes.
 *
 * Each router asks a random other one at intervals, more often while the store does not answer it, and tells the
 * revisions that it has; the other one sends what it has newer. Both learn of further routers on the way.
 */
internal class PeerExchange(
    private val self: RouterAddress,
    seeds: List<RouterAddress>,
    private val eventLoops: EventLoopGroup,
    private val eventLoop: EventLoop,
    private val followers: Map<String, FollowRunner>,
) {
    private val directory = PeerDirectory(self, seeds)
    private val clients = HashMap<RouterAddress, HttpClient>()
    private val random = Random(self.hashCode())

    /** Binds the address; throws when it is taken. */
    fun listen() = HttpEndpoint(self, eventLoops, ::reply).start()

    /** Starts to ask other routers. */
    fun start() = ask()

    private fun ask() {
        directory.peers.randomOrNull(random)?.let { ask(it) }
        eventLoop.schedule(::ask, pause().inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun pause(): Duration {
        val isStoreLost = followers.values.any { it.state.failures > 0 || it.state.revision == 0L }
        return (if (isStoreLost) PAUSE_WITHOUT_STORE else PAUSE) * random.nextDouble(LEAST_JITTER, MOST_JITTER)
    }

    private fun ask(peer: RouterAddress) {
        val query = QueryStringEncoder(PATH)
        query.addParam(FROM, self.toString())
        followers.forEach { (prefix, follower) -> query.addParam(prefix, follower.state.revision.toString()) }
        client(peer).exchange(HttpCall(HttpMethod.GET, query.toString()), TIMEOUT) { outcome ->
            eventLoop.execute { answered(peer, outcome) }
        }
    }

    private fun client(peer: RouterAddress): HttpClient {
        (clients.keys - directory.peers.toSet()).forEach { clients.remove(it)?.close() }
        return clients.getOrPut(peer) { HttpClient(eventLoops, InetSocketAddress(peer.host, peer.port)) }
    }

    private fun answered(peer: RouterAddress, outcome: HttpOutcome) {
        val answer = (outcome as? HttpOutcome.Answered)?.takeIf { it.status == HttpResponseStatus.OK.code() }
        if (answer == null) {
            directory.failed(peer)
            LogEvents.debug("peer-silent") {
                "peer" to peer
                "outcome" to outcome
            }
            return
        }
        directory.answered(peer)
        val told = try {
            Json.decodeFromString<PeerAnswer>(answer.body)
        } catch (exception: IllegalArgumentException) {
            LogEvents.error("peer-answer-unreadable", exception) { "peer" to peer }
            return
        }
        told.routers.mapNotNull { address(it) }.forEach { directory.heardOf(it) }
        told.newer.forEach { followers[it.prefix]?.relay(it.values, it.revision) }
    }

    private fun reply(uri: String): HttpReply {
        val query = QueryStringDecoder(uri)
        if (query.path() != PATH) return HttpReply(HttpResponseStatus.NOT_FOUND)
        query.parameters()[FROM]?.firstOrNull()?.let { address(it) }?.let { directory.heardOf(it) }
        val newer = followers.mapNotNull { (prefix, follower) ->
            val revision = query.parameters()[prefix]?.firstOrNull()?.toLongOrNull()
            val known = follower.state
            val isNewer = revision != null && known.revision > revision
            if (isNewer) KnownValues(prefix, known.revision, known.values) else null
        }
        val answer = PeerAnswer(directory.peers.shuffled(random).take(TOLD_PEERS).map { it.toString() }, newer)
        return HttpReply(HttpResponseStatus.OK, Json.encodeToString(answer), contentType = "application/json")
    }

    private fun address(text: String): RouterAddress? {
        val port = text.substringAfterLast(':').toIntOrNull() ?: return null
        return RouterAddress(text.substringBeforeLast(':'), port)
    }

    private companion object {
        const val PATH = "/fleet"
        const val FROM = "from"
        const val TOLD_PEERS = 4

        /** A change reaches a router that the store refuses within a few of these. */
        val PAUSE = 1500.milliseconds
        val PAUSE_WITHOUT_STORE = 400.milliseconds
        val TIMEOUT = 500.milliseconds
        const val LEAST_JITTER = 0.8
        const val MOST_JITTER = 1.2
    }
}
