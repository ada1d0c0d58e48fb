/*
 * Distributed tracing with a span for each hop: the caller's request, the forward to the owner, and the call to the worker. The W3C
 * trace context is passed on in the `traceparent` header to workers and in a field of the messages between VMs.
 */
package dandelionpoint.observability

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.TraceFlags
import io.opentelemetry.api.trace.TraceState
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import io.opentelemetry.sdk.trace.samplers.Sampler

/** A span of one hop. [traceParent] is passed to the next hop. */
internal class HopSpan(private val span: Span) {
    val traceParent: String?
        get() = span.spanContext.takeIf { it.isValid }?.let { "00-${it.traceId}-${it.spanId}-${it.traceFlags.asHex()}" }

    /** Ends the span; [error] marks it as failed. */
    fun end(error: String? = null) {
        error?.let { span.setStatus(StatusCode.ERROR, it) }
        span.end()
    }
}

/**
 * Creates spans and sends the fraction [sampleRatio] of the traces that start here to [exporter]. Without an exporter nothing is recorded,
 * and the trace context of the caller is passed on with new span ids.
 */
internal class Tracing(vmName: String, exporter: SpanExporter?, sampleRatio: Double = 1.0) : AutoCloseable {
    private val provider: SdkTracerProvider
    private val tracer: Tracer

    init {
        val resource = Resource.create(Attributes.of(AttributeKey.stringKey("service.name"), "dandelionpoint", VM_NAME, vmName))
        val builder = SdkTracerProvider.builder().setResource(resource)
        if (exporter == null) {
            builder.setSampler(Sampler.alwaysOff())
        } else {
            builder.setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampleRatio)))
            builder.addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
        }
        provider = builder.build()
        tracer = provider.get("dandelionpoint")
    }

    /** Starts the span [name] of a hop under the caller's [traceParent], or as a new trace. */
    fun start(name: String, kind: SpanKind, traceParent: String?, attributes: Map<String, String> = emptyMap()): HopSpan {
        val parent = traceParent?.let { parse(it) }
        val builder = tracer.spanBuilder(name).setSpanKind(kind)
        if (parent != null) builder.setParent(Context.root().with(Span.wrap(parent))) else builder.setNoParent()
        attributes.forEach { (key, value) -> builder.setAttribute(key, value) }
        return HopSpan(builder.startSpan())
    }

    override fun close() = provider.close()

    companion object {
        private val VM_NAME = AttributeKey.stringKey("dandelionpoint.vm")
        private val TRACE_PARENT = Regex("00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")

        /** Reads a W3C `traceparent` header; null if it is malformed. */
        internal fun parse(text: String): SpanContext? {
            val match = TRACE_PARENT.matchEntire(text) ?: return null
            val (trace, span, flags) = match.destructured
            val context = SpanContext.createFromRemoteParent(trace, span, TraceFlags.fromHex(flags, 0), TraceState.getDefault())
            return context.takeIf { it.isValid }
        }

        /** Creates a tracing that sends spans by OTLP over HTTP to [address], or records none if it is null. */
        fun toAddress(vmName: String, address: String?): Tracing =
            Tracing(vmName, address?.let { OtlpHttpSpanExporter.builder().setEndpoint(it).build() })
    }
}
