package org.cicadaarch.router.target

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import java.nio.charset.StandardCharsets
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.json.Json
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.orders.EngineState
import org.cicadaarch.orders.OrderResult
import org.cicadaarch.orders.OrdersEffect
import org.cicadaarch.router.runtime.MonotonicClock
import org.cicadaarch.store.UntrustedJson

/**
 * Speaks to the control paths of engines: `/load`, `/state` and `/orders`.
 */
internal class EngineControl(private val targets: TargetClient, private val eventLoops: EventLoopGroup) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Reads the load that the engine at [address] reports; null when it does not tell. */
    fun readLoad(address: RouterAddress, onResult: (EngineLoadReport?) -> Unit) =
        call(address, HttpMethod.GET, "/load", Unpooled.EMPTY_BUFFER, LOAD_TIME_LIMIT) { onResult(parsed(it)) }

    /** Reads the state that the engine at [address] serves; null when it does not tell within [timeLimit]. */
    fun readState(address: RouterAddress, timeLimit: Duration, onResult: (EngineState?) -> Unit) =
        call(address, HttpMethod.GET, "/state", Unpooled.EMPTY_BUFFER, timeLimit) { answer ->
            onResult(parsed<EngineStateReport>(answer)?.let { EngineState(serving = it.order?.state()) })
        }

    /** Sends [order] to the engine at [address], unless its latest time to be sent is over. */
    fun order(address: RouterAddress, order: OrdersEffect.SendOrder, onResult: (OrderResult) -> Unit) {
        if (MonotonicClock.now() >= order.sendBefore) {
            onResult(OrderResult.FAILED)
            return
        }
        val text = json.encodeToString(EngineOrder.of(order.state, order.fencingToken))
        val body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)
        call(address, HttpMethod.POST, "/orders", body, order.timeLimit) { answer ->
            onResult(
                when (answer?.first) {
                    null -> OrderResult.UNANSWERED
                    in SUCCESS -> OrderResult.ACCEPTED
                    CONFLICT -> OrderResult.OLD_FENCING_NUMBER
                    else -> OrderResult.FAILED
                },
            )
        }
    }

    private inline fun <reified T> parsed(answer: Pair<Int, String>?): T? = answer
        ?.takeIf { it.first in SUCCESS }
        ?.let { (_, body) -> UntrustedJson.decode(body) { json.decodeFromString<T>(it) } }
        ?.onLeft { error -> LogEvents.warn("engine-answer-unreadable") { "error" to error } }
        ?.getOrNull()

    private fun call(
        address: RouterAddress,
        method: HttpMethod,
        path: String,
        body: ByteBuf,
        timeLimit: Duration,
        onResult: (Pair<Int, String>?) -> Unit,
    ) {
        val eventLoop = eventLoops.next() as EventLoop
        eventLoop.execute {
            val answer = WholeAnswer(onResult)
            val headers = DefaultHttpHeaders()
            headers[HttpHeaderNames.CONTENT_TYPE] = HttpHeaderValues.APPLICATION_JSON
            val request = TargetRequest(address, method, path, headers, body, repeatable = method == HttpMethod.GET)
            val call = targets.send(eventLoop, request, answer)
            eventLoop.schedule(
                {
                    call.cancel()
                    answer.timedOut()
                },
                timeLimit.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        }
    }

    private companion object {
        val LOAD_TIME_LIMIT = 1.seconds
        val SUCCESS = 200..299
        const val CONFLICT = 409
    }
}
