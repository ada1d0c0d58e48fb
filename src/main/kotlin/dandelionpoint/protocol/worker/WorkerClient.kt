/* Calls to workers. A worker runs the task of a call and responds when it has ended; it has no knowledge of dispatchers. */
package dandelionpoint.protocol.worker

/** Address of a worker. */
data class WorkerAddress(val id: String, val host: String, val port: Int)

/** A call with one task or request. [timeoutMs] limits the whole call; [traceParent] is the value of the W3C `traceparent` header. */
data class WorkerCall(val payload: String, val timeoutMs: Long, val traceParent: String? = null)

/** How a call to a worker ended. Only after [NotStarted] may a task that is not idempotent be sent to another worker. */
sealed interface CallOutcome {
    /** The worker ran the task and the complete response arrived. */
    data class Answered(val body: String) : CallOutcome

    /** The worker responded that the task ran and failed. */
    data class Failed(val status: Int, val body: String) : CallOutcome

    /**
     * The task certainly did not start: there was no connection, nothing was written, or the worker was full (429).
     * [unreachable] is true if no connection could be established.
     */
    data class NotStarted(val reason: String, val unreachable: Boolean) : CallOutcome

    /** The request was written, but no complete response arrived, so the task may have run. */
    data class Unknown(val reason: String) : CallOutcome
}

/** Sends tasks to workers. */
interface WorkerClient {
    /** Sends [call] to [worker] and waits for the outcome. */
    suspend fun call(worker: WorkerAddress, call: WorkerCall): CallOutcome
}
