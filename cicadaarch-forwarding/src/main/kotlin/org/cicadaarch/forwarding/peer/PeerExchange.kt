package org.cicadaarch.forwarding.peer

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringEncoder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.forwarding.fleet.FollowRunner
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.store.HttpCall
import org.cicadaarch.store.HttpClient
import org.cicadaarch.store.HttpOutcome

/**
 * Exchanges values of the store with other routers, so that few routers watch the store for all, and a router that the
 * store refuses still learns of changes.
 *
 * A router that watches asks a random other one at intervals, more often while the store does not answer it. Any other
 * router keeps [LINES] questions open, each to one watching router after the other, so that a watching router which has
 * lost the store unnoticed holds up no news for longer than a question lasts.
 */
internal class PeerExchange(
    private val self: RouterAddress,
    seeds: List<RouterAddress>,
    private val eventLoops: EventLoopGroup,
    private val eventLoop: EventLoop,
    private val followers: Map<String, FollowRunner>,
) {
    private val directory = PeerDirectory(self, seeds)
    private val port = PeerPort(self, eventLoops, eventLoop, directory, followers)
    private val clients = HashMap<RouterAddress, HttpClient>()
    private val random = Random(self.hashCode())
    private val startedAt = EventLoopClock.now()
    private var turn = random.nextInt(PeerDirectory.WATCHERS)

    /** Binds the address; throws when it is taken. */
    fun listen() = port.listen()

    /** Starts to ask other routers. */
    fun start() = repeat(LINES) { line -> askNext(line) }

    private fun askNext(line: Int) {
        val now = EventLoopClock.now()
        if (now - startedAt < START_TIME && isUninformed()) return again(line, START_PAUSE)
        val watchers = directory.watchers(now)
        val isWatching = self in watchers
        if (isWatching != areWatching()) callStore(isWatching)
        val others = watchers - self
        when {
            !isWatching && others.isNotEmpty() -> {
                turn += 1
                ask(others[turn.mod(others.size)], PeerQuery.LONGEST_WAIT) { isServed ->
                    again(line, if (isServed) Duration.ZERO else PAUSE_WITHOUT_STORE)
                }
            }

            line == 0 -> {
                directory.candidates(now).filter { it != self }.randomOrNull(random)?.let { ask(it, Duration.ZERO) {} }
                again(line, pause())
            }

            else -> again(line, PAUSE)
        }
    }

    private fun again(line: Int, pause: Duration) {
        eventLoop.schedule({ askNext(line) }, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun areWatching(): Boolean = followers.values.none { it.state.phase is WatchState.Phase.Delegated }

    private fun callStore(isWanted: Boolean) {
        LogEvents.info("store-watching") {
            "watches" to isWanted
            "routers" to directory.peers.size
        }
        followers.values.forEach { it.callStore(isWanted) }
    }

    private fun isUninformed(): Boolean = followers.values.any { it.state.revision == 0L }

    private fun pause(): Duration {
        val isStoreLost = isUninformed() || followers.values.any { it.state.failures > 0 }
        val isNew = EventLoopClock.now() - startedAt < NEW_TIME
        val pause = when {
            isNew -> PAUSE_WHEN_NEW
            isStoreLost -> PAUSE_WITHOUT_STORE
            else -> PAUSE
        }
        return pause * random.nextDouble(LEAST_JITTER, MOST_JITTER)
    }

    private fun ask(peer: RouterAddress, wait: Duration, onDone: (isServed: Boolean) -> Unit) {
        val query = QueryStringEncoder(PeerQuery.PATH)
        query.addParam(PeerQuery.FROM, self.toString())
        query.addParam(PeerQuery.WAIT, wait.inWholeMilliseconds.toString())
        followers.forEach { (prefix, follower) -> query.addParam(prefix, follower.state.revision.toString()) }
        client(
            peer,
        ).exchange(HttpCall(HttpMethod.GET, query.toString(), acceptsGzip = true), wait + TIMEOUT) { outcome ->
            eventLoop.execute { onDone(answered(peer, outcome)) }
        }
    }

    private fun client(peer: RouterAddress): HttpClient {
        (clients.keys - directory.peers).forEach { clients.remove(it)?.close() }
        return clients.getOrPut(peer) { HttpClient(eventLoops, InetSocketAddress(peer.host, peer.port)) }
    }

    /** Takes what [peer] tells; whether it answered and the store serves it. */
    private fun answered(peer: RouterAddress, outcome: HttpOutcome): Boolean {
        val now = EventLoopClock.now()
        val told = (outcome as? HttpOutcome.Answered)?.takeIf { it.status == HttpResponseStatus.OK.code() }
            ?.let { decoded(peer, it.body) }
        if (told == null) {
            directory.failed(peer, now)
            LogEvents.debug("peer-silent") {
                "peer" to peer
                "outcome" to outcome
            }
            return false
        }
        directory.heardFrom(peer, now, told.isServed)
        told.routers.mapNotNull { PeerQuery.address(it) }.forEach { directory.heardOf(it, now) }
        told.newer.forEach { followers[it.prefix]?.relay(it.changes()) }
        return told.isServed
    }

    private fun decoded(peer: RouterAddress, body: String): PeerAnswer? = try {
        Json.decodeFromString<PeerAnswer>(body)
    } catch (exception: IllegalArgumentException) {
        LogEvents.error("peer-answer-unreadable", exception) { "peer" to peer }
        null
    }

    private companion object {
        /** Questions that a router which does not watch keeps open; with two, one lost router delays no news. */
        const val LINES = 2

        /** A change reaches a router that the store refuses within a few of these. */
        val PAUSE = 1500.milliseconds
        val PAUSE_WITHOUT_STORE = 400.milliseconds

        /** Time to read the store first: whole values for all that start at once would overwhelm the seeds. */
        val START_TIME = 400.milliseconds
        val START_PAUSE = 50.milliseconds

        /** A new router asks often, to know soon whether others watch. */
        val PAUSE_WHEN_NEW = 200.milliseconds
        val NEW_TIME = 2000.milliseconds
        val TIMEOUT = 500.milliseconds
        const val LEAST_JITTER = 0.8
        const val MOST_JITTER = 1.2
    }
}
