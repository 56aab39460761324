package org.cicadaarch.forwarding.peer

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.forwarding.fleet.FollowRunner
import org.cicadaarch.forwarding.http.HttpEndpoint
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.model.RouterAddress

/**
 * Answers other routers, at once when this one knows something newer of the store than they do, else when it learns of
 * it or the time that they wait is over.
 */
internal class PeerPort(
    private val self: RouterAddress,
    private val eventLoops: EventLoopGroup,
    private val eventLoop: EventLoop,
    private val directory: PeerDirectory,
    private val followers: Map<String, FollowRunner>,
) {
    private val waiting = LinkedHashSet<Question>()

    init {
        followers.values.forEach { it.onRevision = ::answerWaiting }
    }

    /** Binds the address; throws when it is taken. */
    fun listen() = HttpEndpoint(self, eventLoops) { uri, respond -> asked(uri, respond) }.start()

    private fun asked(uri: String, respond: (HttpReply) -> Unit) {
        val query = QueryStringDecoder(uri)
        if (query.path() != PeerQuery.PATH) return respond(HttpReply(HttpResponseStatus.NOT_FOUND))
        val parameters = query.parameters().mapValues { it.value.first() }
        parameters[PeerQuery.FROM]?.let { PeerQuery.address(it) }?.let { directory.heardFrom(it, EventLoopClock.now()) }
        val revisions = parameters.mapNotNull { (key, value) -> value.toLongOrNull()?.let { key to it } }.toMap()
        val waitMillis = revisions[PeerQuery.WAIT]?.coerceIn(0, PeerQuery.LONGEST_WAIT.inWholeMilliseconds) ?: 0
        val question = Question(revisions, respond)
        if (waitMillis == 0L || newerFor(question).isNotEmpty() || !isServed()) return answer(question)
        waiting += question
        eventLoop.schedule({ if (waiting.remove(question)) answer(question) }, waitMillis, TimeUnit.MILLISECONDS)
    }

    private fun answerWaiting() {
        val due = waiting.filter { newerFor(it).isNotEmpty() }
        waiting.removeAll(due.toSet())
        due.forEach { answer(it) }
    }

    private fun answer(question: Question) {
        val told = directory.live(EventLoopClock.now()).take(TOLD_PEERS).map { it.toString() }
        val answer = PeerAnswer(told, newerFor(question), isServed())
        question.respond(HttpReply(HttpResponseStatus.OK, Json.encodeToString(answer), "application/json"))
    }

    private fun newerFor(question: Question): List<KnownValues> = followers.mapNotNull { (prefix, follower) ->
        question.revisions[prefix]
            ?.let { follower.state.changesAfter(it, EventLoopClock.now()) }
            ?.let { KnownValues.of(prefix, it) }
    }

    private fun isServed(): Boolean = followers.values.all { it.state.isServed }

    /** The revisions that a router knows, by prefix, and how to answer it. */
    private class Question(val revisions: Map<String, Long>, val respond: (HttpReply) -> Unit)

    private companion object {
        const val TOLD_PEERS = PeerDirectory.MOST_PEERS
    }
}
