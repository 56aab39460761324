package org.cicadaarch.router.observation

import io.netty.handler.codec.http.HttpHeaders
import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import org.cicadaarch.model.RequestHead

/**
 * Makes the spans of requests and exports them by OTLP over HTTP; without an endpoint nothing is recorded.
 */
class RouterTracing(endpoint: String?, routerName: String) : AutoCloseable {
    private val provider: SdkTracerProvider? = endpoint?.let { url ->
        SdkTracerProvider.builder()
            .setResource(Resource.create(Attributes.builder().put("service.name", routerName).build()))
            .addSpanProcessor(
                BatchSpanProcessor.builder(OtlpHttpSpanExporter.builder().setEndpoint(url).build()).build(),
            )
            .build()
    }
    private val telemetry: OpenTelemetry =
        provider?.let { OpenTelemetrySdk.builder().setTracerProvider(it).build() } ?: OpenTelemetry.noop()
    private val tracer = telemetry.getTracer("cicadaarch-router")
    private val propagator = W3CTraceContextPropagator.getInstance()

    /** Starts the trace of a request, as a child of the caller's span if [headers] name one. */
    fun begin(head: RequestHead, headers: HttpHeaders): RequestTrace {
        val parent = propagator.extract(Context.root(), headers, HeaderGetter)
        val span = tracer.spanBuilder("request")
            .setParent(parent)
            .setSpanKind(SpanKind.SERVER)
            .setAttribute("request", head.id.value)
            .setAttribute("account", head.account.value)
            .setAttribute("service", head.service.value)
            .startSpan()
        return RequestTrace(tracer, propagator, span)
    }

    override fun close() {
        provider?.close()
    }

    private object HeaderGetter : TextMapGetter<HttpHeaders> {
        override fun keys(carrier: HttpHeaders): Iterable<String> = carrier.names()

        override fun get(carrier: HttpHeaders?, key: String): String? = carrier?.get(key)
    }
}
