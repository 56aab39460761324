package org.cicadaarch.forwarding.peer

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.forwarding.fleet.FollowRunner
import org.cicadaarch.forwarding.http.HttpEndpoint
import org.cicadaarch.forwarding.http.HttpReply
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * Answers other routers, at once when this one knows something newer of the store than they do, else soon after it
 * learns of it or when the time that they wait is over. Changes that follow each other closely go out together, and
 * what is told to routers that know the same is written once.
 */
internal class PeerPort(
    private val self: RouterAddress,
    private val eventLoops: EventLoopGroup,
    private val eventLoop: EventLoop,
    private val directory: PeerDirectory,
    private val followers: Map<String, FollowRunner>,
) {
    private val waiting = LinkedHashSet<Question>()
    private var isAnswering = false
    private var told = emptyList<String>()
    private var toldUntil: Timestamp? = null

    init {
        followers.values.forEach { it.onRevision = ::answerSoon }
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
        if (waitMillis == 0L || isNewerFor(question) || !isServed()) return answer(question, body(question))
        waiting += question
        eventLoop.schedule({
            if (waiting.remove(question)) answer(question, body(question))
        }, waitMillis, TimeUnit.MILLISECONDS)
    }

    private fun answerSoon() {
        if (isAnswering || waiting.isEmpty()) return
        isAnswering = true
        eventLoop.schedule(::answerWaiting, GATHERING_TIME.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun answerWaiting() {
        isAnswering = false
        val due = waiting.filter { isNewerFor(it) }.groupBy { it.revisions }
        due.values.flatten().forEach { waiting.remove(it) }
        due.values.forEach { alike ->
            val body = body(alike.first())
            alike.forEach { answer(it, body) }
        }
    }

    private fun answer(question: Question, body: String) =
        question.respond(HttpReply(HttpResponseStatus.OK, body, "application/json"))

    private fun body(question: Question): String =
        Json.encodeToString(PeerAnswer(liveRouters(), newerFor(question), isServed()))

    private fun liveRouters(): List<String> {
        val now = EventLoopClock.now()
        if (toldUntil.let { it == null || it <= now }) {
            told = directory.live(now).take(TOLD_PEERS).map { it.toString() }
            toldUntil = now + TOLD_TIME
        }
        return told
    }

    private fun isNewerFor(question: Question): Boolean = followers.any { (prefix, follower) ->
        question.revisions[prefix].let { it != null && it < follower.state.revision }
    }

    private fun newerFor(question: Question): List<KnownValues> = followers.mapNotNull { (prefix, follower) ->
        question.revisions[prefix]
            ?.let { follower.state.updateSince(it, EventLoopClock.now()) }
            ?.let { KnownValues.of(prefix, it) }
    }

    private fun isServed(): Boolean = followers.values.all { it.state.isWatchingStore }

    /** The revisions that a router knows, by prefix, and how to answer it. */
    private class Question(val revisions: Map<String, Long>, val respond: (HttpReply) -> Unit)

    private companion object {
        const val TOLD_PEERS = PeerDirectory.MOST_PEERS
        val TOLD_TIME = 500.milliseconds
        val GATHERING_TIME = 100.milliseconds
    }
}
