package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.JobOutcome

/** What the caller of [Dispatch] has to do. */
internal sealed interface DispatchEvent {
    /** [outcome] is the answer to [attempts], which are submissions of the job [jobId]. */
    data class Finished(val jobId: String, val outcome: JobOutcome, val attempts: Set<AttemptKey>) : DispatchEvent

    /** Stop the run [key], which was placed at [location] and whose job has ended. */
    data class StopRun(val key: RunKey, val location: RunLocation) : DispatchEvent

    /** The run of [order], which another VM has requested, has waited until its latest start and will not be started. */
    data class WaitingRunExpired(val order: RunOrder) : DispatchEvent
}
