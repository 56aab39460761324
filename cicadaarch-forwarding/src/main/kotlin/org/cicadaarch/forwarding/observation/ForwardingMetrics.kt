package org.cicadaarch.forwarding.observation

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.model.ServiceName

/**
 * Metrics of a router that forwards requests by routes, in the Prometheus text format. Label values come only from the
 * configuration and from this program, never from requests.
 */
internal class ForwardingMetrics {
    private val registry = PrometheusRegistry()
    private val requests = Counter.builder()
        .name("cicadaarch_requests_total")
        .help("Requests that ended, by service, status towards the caller (none if the connection ended) and reason.")
        .labelNames("service", "status", "reason")
        .register(registry)
    private val attempts = Counter.builder()
        .name("cicadaarch_attempts_total")
        .help("Attempts on targets that ended, by service and result.")
        .labelNames("service", "result")
        .register(registry)
    private val durations = Histogram.builder()
        .name("cicadaarch_request_seconds")
        .help("Time from a request's arrival to the first part and to the end of its answer, by kind and phase.")
        .labelNames("kind", "phase")
        .classicOnly()
        .register(registry)

    private val loadReports = Counter.builder()
        .name("cicadaarch_load_reports_total")
        .help("Responses that stated the target's load, by service and whether it was over the bound believed.")
        .labelNames("service", "bound")
        .register(registry)
    private val loadReportAges = Histogram.builder()
        .name("cicadaarch_load_report_age_seconds")
        .help("Age of the load report by which a target was selected, by service; not counted if there was none.")
        .labelNames("service")
        .classicOnly()
        .classicUpperBounds(0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 15.0)
        .register(registry)

    private val unreadResponses = Counter.builder()
        .name("cicadaarch_unread_responses_aborted_total")
        .help("Responses aborted because the unsent bytes of all responses were over their bound.")
        .register(registry)

    /** Counts a response that was aborted because its client had not read it. */
    fun recordUnreadResponse() = unreadResponses.inc()

    private val warmUpRequests = Counter.builder()
        .name("cicadaarch_warm_up_requests_total")
        .help("Requests sent to targets that were warming up, as no other one had room, by service.")
        .labelNames("service")
        .register(registry)

    private val storeCalls = Counter.builder()
        .name("cicadaarch_store_calls_total")
        .help("Calls to the store that ended, by kind and result.")
        .labelNames("kind", "result")
        .register(registry)
    private val storeCallTimes = Histogram.builder()
        .name("cicadaarch_store_call_seconds")
        .help("Time until the store answered a call, by kind; without failed calls and those that wait for changes.")
        .labelNames("kind")
        .classicOnly()
        .classicUpperBounds(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)
        .register(registry)

    /** Counts a call of [kind] to the store that ended with [result] after [time]. */
    fun recordStoreCall(kind: StoreCallKind, result: StoreCallResult, time: Duration) {
        storeCalls.labelValues(kind.label, result.label).inc()
        if (kind.waitsForChange || result.isFailure) return
        storeCallTimes.labelValues(kind.label).observe(time.toDouble(DurationUnit.SECONDS))
    }

    /** Counts a request for [service] that ended with [status], or null if the client's connection was closed. */
    fun recordRequest(service: ServiceName?, status: Int?, reason: String?) =
        requests.labelValues(service?.value ?: NONE, status?.toString() ?: NONE, reason ?: NONE).inc()

    /** Counts an attempt for [service] that ended. */
    fun recordAttempt(service: ServiceName, result: AttemptResult) {
        val label = when (result) {
            is AttemptResult.Answered -> "answered"
            is AttemptResult.NotStarted -> "not-started"
            is AttemptResult.Broken -> "broken"
        }
        attempts.labelValues(service.value, label).inc()
    }

    /** Counts a request that is sent to a target of [service] that is warming up. */
    fun recordWarmUpRequest(service: ServiceName) = warmUpRequests.labelValues(service.value).inc()

    /** Counts a load report of a target of [service]. */
    fun recordLoadReport(service: ServiceName, isOverBound: Boolean) =
        loadReports.labelValues(service.value, if (isOverBound) "over" else "within").inc()

    /** Records the [age] of the report by which a target of [service] was selected; null if there was none. */
    fun recordLoadReportAge(service: ServiceName, age: Duration?) {
        if (age != null) loadReportAges.labelValues(service.value).observe(age.toDouble(DurationUnit.SECONDS))
    }

    /** Records that [phase] of a request on [route] took [time]. */
    fun recordDuration(route: Route, phase: LatencyPhase, time: Duration) {
        val kind = if (route.isStream) "stream" else "plain"
        durations.labelValues(kind, phase.label).observe(time.toDouble(DurationUnit.SECONDS))
    }

    /** Registers a gauge whose values, by value of [label], are read at each scrape. */
    fun registerGauge(name: String, help: String, label: String, read: () -> Map<String, Double>) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { callback -> read().forEach { (value, number) -> callback.call(number, value) } }
            .register(registry)
    }

    /** All metrics in the text format. */
    fun text(): String = ByteArrayOutputStream().also { output ->
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
    }.toString(Charsets.UTF_8)

    private companion object {
        const val NONE = "none"
    }
}
