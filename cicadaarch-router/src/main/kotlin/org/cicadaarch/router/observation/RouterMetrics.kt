package org.cicadaarch.router.observation

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import org.cicadaarch.core.PeerMessage
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.request.RefusalReason
import org.cicadaarch.router.peer.PeerObserver

/**
 * A router's metrics in the Prometheus text format.
 */
class RouterMetrics : PeerObserver {
    private val registry = PrometheusRegistry()
    private val requests = Counter.builder()
        .name("cicadaarch_requests_total")
        .help("Requests that ended, by service, outcome and reason.")
        .labelNames("service", "outcome", "reason")
        .register(registry)
    private val attemptFailures = Counter.builder()
        .name("cicadaarch_attempt_failures_total")
        .help("Attempts on targets that failed, by service and failure.")
        .labelNames("service", "failure")
        .register(registry)
    private val staleAnswers = Counter.builder()
        .name("cicadaarch_stale_answers_total")
        .help("Parts of answers that came for an attempt no longer current, and were dropped.")
        .register(registry)
    private val firstByteSeconds = Histogram.builder()
        .name("cicadaarch_first_byte_seconds")
        .help("Time from a request's arrival to the first byte of its answer.")
        .labelNames("service")
        .register(registry)
    private val controlBytes = Counter.builder()
        .name("cicadaarch_control_bytes_total")
        .help("Bytes of control traffic, by kind and direction.")
        .labelNames("kind", "direction")
        .register(registry)
    private val droppedMessages = Counter.builder()
        .name("cicadaarch_dropped_messages_total")
        .help("Messages to other routers that could not be sent, by kind.")
        .labelNames("kind")
        .register(registry)
    private val promptTokens = Counter.builder()
        .name("cicadaarch_prompt_tokens_total")
        .help("Prompt tokens of answered requests, by service and whether an engine's cache held them.")
        .labelNames("service", "cached")
        .register(registry)

    /** Registers a gauge that is read at each scrape. */
    fun gauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    /** Registers a gauge with one value for each target, read at each scrape as (service, target, value). */
    fun targetGauge(name: String, help: String, read: () -> List<Triple<String, String, Double>>) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .labelNames("service", "target")
            .callback { gauge -> read().forEach { (service, target, value) -> gauge.call(value, service, target) } }
            .register(registry)
    }

    /** A request ended. */
    fun requestEnded(head: RequestHead, outcome: Outcome, reason: RefusalReason?) {
        requests.labelValues(head.service.value, outcome.label, reason?.label.orEmpty()).inc()
    }

    /** An attempt failed. */
    fun attemptFailed(head: RequestHead, failure: AttemptFailure) {
        attemptFailures.labelValues(head.service.value, failure::class.simpleName.orEmpty()).inc()
    }

    /** An answer to [attempt] was dropped since the attempt is not current. */
    @Suppress("UnusedParameter")
    fun staleAnswer(attempt: AttemptId) = staleAnswers.inc()

    /** The first byte of an answer came after [seconds]. */
    fun firstByte(head: RequestHead, seconds: Double) =
        firstByteSeconds.labelValues(head.service.value).observe(seconds)

    /** An engine reported its use of the prompt cache, in tokens. */
    fun promptTokens(head: RequestHead, cached: Long, uncached: Long) {
        promptTokens.labelValues(head.service.value, "yes").inc(cached)
        promptTokens.labelValues(head.service.value, "no").inc(uncached)
    }

    /** Control traffic of [kind] was sent, or received otherwise, in bytes. */
    fun controlBytes(kind: String, sent: Boolean, bytes: Int) {
        controlBytes.labelValues(kind, if (sent) "sent" else "received").inc(bytes.toLong())
    }

    override fun onSent(message: PeerMessage, bytes: Int) = controlBytes(kindOf(message), sent = true, bytes = bytes)

    override fun onReceived(message: PeerMessage, bytes: Int) =
        controlBytes(kindOf(message), sent = false, bytes = bytes)

    override fun onDropped(message: PeerMessage) = droppedMessages.labelValues(kindOf(message)).inc()

    /** All metrics as Prometheus text. */
    fun text(): ByteArray = ByteArrayOutputStream()
        .also { PrometheusTextFormatWriter.create().write(it, registry.scrape()) }
        .toByteArray()

    private fun kindOf(message: PeerMessage): String = when (message) {
        is PeerMessage.Hello, is PeerMessage.Heartbeat -> "connection"
        is PeerMessage.ToAdmissionOwner, is PeerMessage.ToIngress -> "admission"
        is PeerMessage.ToQuota -> "quota"
        is PeerMessage.ToConfiguration -> "configuration"
        is PeerMessage.CrashReported -> "crash"
        is PeerMessage.ToShardOwner, is PeerMessage.ToClaimant -> "ledger"
    }
}
