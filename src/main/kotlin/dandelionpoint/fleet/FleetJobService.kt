package dandelionpoint.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.peer.JobPresence

/** The operations of an entry VM that its client-facing server calls. */
internal interface FleetJobService {
    /** True if the load balancer may send clients to this VM. */
    val isReady: Boolean

    /** True once a planned stop was requested: each connection is then closed after its response. */
    val isStopping: Boolean

    val hasConfiguration: Boolean

    /** The route of a request, or null if the configuration has none for it. */
    fun route(host: String, path: String): QueueRoute?

    /** Runs a job whose client waits for [waitMs] ms. When the client disconnects, the caller cancels [signal], at any time. */
    suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long, signal: CancellationSignal = CancellationSignal()): JobOutcome

    /** Ends a job because its client has asked for it, whichever VM dispatches it. Found means that this VM has accepted it. */
    suspend fun cancel(jobId: String): JobPresence

    /** Whether a job is in progress, whichever VM dispatches it. */
    suspend fun find(jobId: String): JobPresence

    /** Number of jobs of a queue that have no started task, on this VM and all live peers. */
    fun waitingJobs(queue: String): Int
}
