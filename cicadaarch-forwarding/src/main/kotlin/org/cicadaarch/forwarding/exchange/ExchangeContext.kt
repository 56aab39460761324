package org.cicadaarch.forwarding.exchange

import kotlin.math.roundToInt
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.RequestFailure
import org.cicadaarch.dispatch.routing.ClientAccount
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.forwarding.NanoTimeClock
import org.cicadaarch.forwarding.format.HeaderFormat
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.forwarding.observation.LatencyPhase
import org.cicadaarch.forwarding.quarantine.QuarantineManager
import org.cicadaarch.forwarding.target.TargetConnectionPool
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.store.MemoryBudget

/**
 * What a [ForwardingExchange] needs besides the client request, and where it reports progress: metrics, the log and the
 * dispatch reducer.
 */
internal class ExchangeContext(
    val dispatchRequest: DispatchRequest,
    val requestId: String,
    val account: ClientAccount?,
    val requestedLastEventId: String?,
    private val sharedPromptParts: List<String>,
    val configurationVersion: Long,
    val connectionPool: TargetConnectionPool,
    val format: HeaderFormat,
    val responseMemory: MemoryBudget,
    val quarantine: QuarantineManager,
    private val metrics: ForwardingMetrics,
    val submit: (DispatchEvent) -> Unit,
    val tasks: ExchangeTasks,
    private val onEnd: (ForwardingExchange) -> Unit,
    private val exchange: ForwardingExchange,
) {
    private val startedAt = NanoTimeClock.now()
    private var lastTarget: TargetId? = null
    private var attempts = 0
    private var attemptSentAt: Timestamp? = null
    private var firstPartMillis: Long? = null
    private var reportedLoad: Int? = null
    private var loadBound: Double? = null

    /** Records that the first part of the response was written to the client. */
    fun responseStarted() {
        firstPartMillis = elapsedMillis()
        metrics.recordDuration(dispatchRequest.route, LatencyPhase.FIRST_PART, NanoTimeClock.now() - startedAt)
    }

    /** Logs an attempt that is being sent, with the values that led to its target. */
    fun attemptSent(send: DispatchEffect.Send) {
        attempts = send.attempt
        attemptSentAt = NanoTimeClock.now()
        lastTarget = send.target.id
        loadBound = send.loadBound
        metrics.recordLoadReportAge(dispatchRequest.service, send.loadReportAge)
        LogEvents.info("attempt-sent") {
            "request" to requestId
            "attempt" to send.attempt
            "target" to send.target.id
            "load" to rounded(send.estimatedLoad)
            "loadBound" to rounded(send.loadBound)
            "reportAge" to send.loadReportAge?.inWholeMilliseconds
            "slots" to send.target.slots
            "prompt" to dispatchRequest.promptKey
            "cacheSource" to send.cacheSource?.id
            "millisLeft" to send.timeLeft.inWholeMilliseconds
            "queuedMillis" to if (send.attempt == 1) elapsedMillis() else null
        }
    }

    /** Logs a refusal that was decided by the estimate of how long the request would wait, if it was. */
    fun refused(failure: RequestFailure.NotRun) {
        val estimate = failure.estimate ?: return
        LogEvents.info("request-not-admitted") {
            "request" to requestId
            "service" to dispatchRequest.service
            "account" to account?.id
            "priority" to dispatchRequest.priority
            "reason" to failure.reason
            "waitMillis" to estimate.wait.inWholeMilliseconds
            "ahead" to estimate.requestsAhead
            "slotsInUse" to estimate.slotsInUse
            "slotMillis" to estimate.slotTime.inWholeMilliseconds
            "ageMillis" to estimate.age.inWholeMilliseconds
            "retryAfterMillis" to failure.retryAfter.inWholeMilliseconds
        }
    }

    /** Records the [load] that [target] reported in its response, and passes it to the dispatch reducer. */
    fun loadReported(target: TargetId, load: LoadReport) {
        reportedLoad = load.total
        loadBound?.let { metrics.recordLoadReport(dispatchRequest.service, isOverBound = load.total > it) }
        submit(DispatchEvent.LoadReported(target, load))
    }

    /** Records the [result] of an attempt and logs it unless a response was received. */
    fun attemptEnded(number: Int, target: TargetId, result: AttemptResult) {
        metrics.recordAttempt(dispatchRequest.service, result)
        if (result is AttemptResult.Answered) return
        LogEvents.info("attempt-failed") {
            "request" to requestId
            "attempt" to number
            "target" to target
            "result" to result
            "promptParts" to sharedPromptParts.take(MAX_LOGGED_PARTS).joinToString(separator = ",").ifEmpty { null }
            "attemptMillis" to attemptSentAt?.let { (NanoTimeClock.now() - it).inWholeMilliseconds }
            "millis" to elapsedMillis()
        }
    }

    /**
     * Records the end of the request for [reason]. The client received [status], or null if its connection was closed.
     */
    fun ended(status: Int?, reason: String?) {
        metrics.recordRequest(dispatchRequest.service, status, reason)
        metrics.recordDuration(dispatchRequest.route, LatencyPhase.WHOLE, NanoTimeClock.now() - startedAt)
        LogEvents.info("request-ended") {
            "request" to requestId
            "route" to dispatchRequest.route.name
            "version" to configurationVersion
            "service" to dispatchRequest.service
            "account" to account?.id
            "target" to lastTarget
            "attempts" to attempts
            "reportedLoad" to reportedLoad
            "loadBound" to loadBound?.let { rounded(it) }
            "status" to status
            "reason" to reason
            "firstPartMillis" to firstPartMillis
            "millis" to elapsedMillis()
        }
        onEnd(exchange)
    }

    private fun rounded(load: Double): Double = (load * TENTHS).roundToInt() / TENTHS

    private fun elapsedMillis(): Long = (NanoTimeClock.now() - startedAt).inWholeMilliseconds

    private companion object {
        const val TENTHS = 10.0
        const val MAX_LOGGED_PARTS = 8
    }
}
