package dandelionpoint.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.QueueRoute

/** What a server for clients needs from an entry VM that dispatches to leased workers. */
internal interface FleetFront {
    /** True if clients may be sent here. */
    val isReady: Boolean

    /** True after the stop was asked for: connections are closed after their response. */
    val isStopping: Boolean

    val hasConfiguration: Boolean

    /** The route of a request, or null if the configuration has none. */
    fun route(host: String, path: String): QueueRoute?

    /** Runs a job whose client waits for [waitMs]. [onGone] of the caller is [cancel]. */
    suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long): JobOutcome

    /** Ends a job because its client has gone or asked for it. Returns false if this VM does not have it in hand. */
    fun cancel(jobId: String): Boolean

    fun isInHand(jobId: String): Boolean

    /** Jobs of a queue without a started task, on all VMs that are heard of. */
    fun waitingJobs(queue: String): Int
}
