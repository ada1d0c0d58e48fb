package dandelionpoint.coordination.dispatch

import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerAddress

/** Observes each call to a worker, for metrics and traces. */
internal interface DispatchObserver {
    fun callStarted(item: WorkItem, index: Int, worker: WorkerAddress): CallSpan

    /** Observes nothing. */
    object None : DispatchObserver {
        override fun callStarted(item: WorkItem, index: Int, worker: WorkerAddress): CallSpan = CallSpan.None
    }
}

/** Trace span of one call to a worker. [traceParent], a W3C trace context, is sent with the call. */
internal interface CallSpan {
    val traceParent: String?

    fun ended(outcome: CallOutcome, elapsedMs: Double)

    /** Records nothing. */
    object None : CallSpan {
        override val traceParent: String? = null

        override fun ended(outcome: CallOutcome, elapsedMs: Double) = Unit
    }
}
