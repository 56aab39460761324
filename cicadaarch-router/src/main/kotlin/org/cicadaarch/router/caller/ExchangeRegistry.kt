package org.cicadaarch.router.caller

import io.netty.buffer.CompositeByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import java.util.concurrent.ConcurrentHashMap
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.request.IngressEvent
import org.cicadaarch.request.RefusalReason
import org.cicadaarch.router.observation.RequestTrace
import org.cicadaarch.router.observation.RouterMetrics
import org.cicadaarch.router.observation.RouterTracing
import org.cicadaarch.router.runtime.MonotonicClock
import org.cicadaarch.router.target.TargetClient

/**
 * Admits callers' requests and keeps the open ones, so that the reducer's effects find them.
 */
class ExchangeRegistry(
    private val authentication: CallerAuthentication,
    private val targets: TargetClient,
    private val metrics: RouterMetrics,
    private val tracing: RouterTracing,
    private val fleet: () -> FleetDocument?,
    private val submit: (IngressEvent) -> Unit,
) {
    private val parser = CallerRequestParser(RequestIdSource())
    private val exchanges = ConcurrentHashMap<RequestId, OpenExchange>()

    /** The requests that have not ended. */
    val openRequests: Int get() = exchanges.size

    /** Authenticates and parses a request; [opened] is called on its event loop when it is accepted. */
    fun admit(request: HttpRequest, body: CompositeByteBuf, answer: CallerAnswer, opened: (Exchange) -> Unit) {
        val document = fleet()
        if (document == null) {
            body.release()
            answer.error(CallerError.of(Outcome.NOT_RUN, RefusalReason.NO_CONFIGURATION))
            return
        }
        authentication.authenticate(request.headers()[HttpHeaderNames.AUTHORIZATION], document) { result ->
            answer.eventLoop.execute {
                result.fold(
                    ifLeft = { refuse(body, answer, it) },
                    ifRight = { account -> open(request, body, answer, account, document, opened) },
                )
            }
        }
    }

    /** Runs [action] with the open exchange of [id] on its event loop, if there is one. */
    fun withExchange(id: RequestId, action: (Exchange) -> Unit) {
        exchanges[id]?.let { open -> open.eventLoop.execute { action(open.exchange) } }
    }

    /** Offers the request of [attempt] to the target at [address]. */
    fun startAttempt(attempt: AttemptId, address: RouterAddress, resumeAfter: Int) =
        withExchange(attempt.request) { it.startAttempt(attempt, address, resumeAfter) }

    private fun open(
        request: HttpRequest,
        body: CompositeByteBuf,
        answer: CallerAnswer,
        account: AccountId,
        document: FleetDocument,
        opened: (Exchange) -> Unit,
    ) {
        parser.parse(request, body, account, document).fold(
            ifLeft = { refuse(body, answer, it) },
            ifRight = { callerRequest ->
                val head = callerRequest.head
                val trace = tracing.begin(head, request.headers())
                val exchange = Exchange(
                    request = callerRequest,
                    kind = document.services.getValue(head.service).kind,
                    caller = answer,
                    targets = targets,
                    trace = trace,
                    observer = Observer(trace),
                    submit = submit,
                )
                exchanges[head.id] = OpenExchange(exchange, answer.eventLoop)
                submit(IngressEvent.RequestReceived(head))
                opened(exchange)
            },
        )
    }

    private fun refuse(body: CompositeByteBuf, answer: CallerAnswer, error: CallerError) {
        body.release()
        if (error.status == HttpResponseStatus.UNAUTHORIZED) LogEvents.info("caller-refused") { "code" to error.code }
        answer.error(error)
    }

    private class OpenExchange(val exchange: Exchange, val eventLoop: EventLoop)

    private inner class Observer(private val trace: RequestTrace) : ExchangeObserver {
        private val arrivedAt = MonotonicClock.now()

        override fun onAnswerBegun(head: RequestHead) {
            metrics.firstByte(head, (MonotonicClock.now() - arrivedAt).inWholeMilliseconds / MILLISECONDS_PER_SECOND)
        }

        override fun onAttemptFailed(head: RequestHead, attempt: AttemptId, failure: AttemptFailure) {
            metrics.attemptFailed(head, failure)
            LogEvents.warn("attempt-failed") {
                "request" to head.id
                "attempt" to attempt.number
                "failure" to failure
                "trace" to trace.traceId
            }
        }

        override fun onStaleAnswer(attempt: AttemptId) = metrics.staleAnswer(attempt)

        override fun onUsage(head: RequestHead, usage: PromptUsage) =
            metrics.promptTokens(head, usage.cachedTokens, usage.promptTokens - usage.cachedTokens)

        override fun onEnded(head: RequestHead, outcome: Outcome, reason: RefusalReason?) {
            exchanges.remove(head.id)
            metrics.requestEnded(head, outcome, reason)
            LogEvents.info("request-ended") {
                "request" to head.id
                "account" to head.account
                "service" to head.service
                "outcome" to outcome.label
                "reason" to reason?.label
                "milliseconds" to (MonotonicClock.now() - arrivedAt).inWholeMilliseconds
                "trace" to trace.traceId
            }
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
