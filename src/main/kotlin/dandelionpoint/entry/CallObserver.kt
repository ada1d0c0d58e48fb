package dandelionpoint.entry

import dandelionpoint.coordination.dispatch.CallSpan
import dandelionpoint.coordination.dispatch.DispatchObserver
import dandelionpoint.coordination.dispatch.WorkItem
import dandelionpoint.observability.HopSpan
import dandelionpoint.observability.Metrics
import dandelionpoint.observability.Tracing
import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerAddress
import io.opentelemetry.api.trace.SpanKind

/** Records metrics and a trace span for each call to a worker. */
internal class CallObserver(private val metrics: Metrics, private val tracing: Tracing) : DispatchObserver {
    override fun callStarted(item: WorkItem, index: Int, worker: WorkerAddress): CallSpan {
        val attributes = mapOf("job" to item.queued.id.text, "task" to index.toString(), "worker" to worker.id)
        return ObservedCall(item, tracing.start("worker call", SpanKind.CLIENT, item.traceParent, attributes))
    }

    private inner class ObservedCall(private val item: WorkItem, private val span: HopSpan) : CallSpan {
        override val traceParent: String? = span.traceParent

        override fun ended(outcome: CallOutcome, elapsedMs: Double) {
            metrics.recordWorkerCall(outcome, elapsedMs, item.queued.expectedTaskMs)
            span.end(error = (outcome as? CallOutcome.Unknown)?.reason)
        }
    }
}
