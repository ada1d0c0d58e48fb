/* Metrics of an entry VM, for the scrape endpoint. docs/OPERATIONS.md explains each. */
package dandelionpoint.observability

import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.worker.CallOutcome
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Meters of one entry VM. */
internal class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val ratio = registry.summary("dandelionpoint.response.over.expected")

    init {
        JvmMemoryMetrics().bindTo(registry)
        ProcessorMetrics().bindTo(registry)
    }

    /** Counts a response to a job or request by its result code, and records its time. [kind] says which kind of call it was. */
    fun recordResponse(kind: String, code: ResultCode, elapsedMs: Double) {
        registry.counter("dandelionpoint.answers", "kind", kind, "code", code.name).increment()
        timer("dandelionpoint.response", "kind", kind).record((elapsedMs * NANOS_PER_MS).toLong(), TimeUnit.NANOSECONDS)
    }

    /** Counts a call to a worker. [expectedMs] is the expected run time of the task on the worker, 0 if it is not known. */
    fun recordWorkerCall(outcome: CallOutcome, elapsedMs: Double, expectedMs: Double = 0.0) {
        val name = when (outcome) {
            is CallOutcome.Answered -> "answered"
            is CallOutcome.Failed -> "failed"
            is CallOutcome.NotStarted -> "not_started"
            is CallOutcome.Unknown -> "unknown"
        }
        registry.counter("dandelionpoint.worker.calls", "outcome", name).increment()
        if (expectedMs > 0 && outcome is CallOutcome.Answered) ratio.record(elapsedMs / expectedMs)
    }

    /** Counts a call to the platform's table by its outcome. */
    fun recordStoreCall(call: String, outcome: String) {
        registry.counter("dandelionpoint.store.calls", "call", call, "outcome", outcome).increment()
    }

    /** Registers a gauge that reads [value] at each scrape. */
    fun gauge(name: String, description: String, value: () -> Number) {
        Gauge.builder(name) { value() }.description(description).register(registry)
    }

    /** Returns all meters in the text format of Prometheus. */
    fun scrape(): String = registry.scrape()

    private fun timer(name: String, vararg tags: String): Timer = Timer
        .builder(name)
        .tags(*tags)
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(1))
        .maximumExpectedValue(Duration.ofMinutes(2))
        .register(registry)

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0
    }
}
