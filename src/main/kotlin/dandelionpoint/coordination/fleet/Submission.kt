package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue

/**
 * A submitted [job]. [entryVm] is the incarnation of the VM that the client is connected to, [number] counts the submissions there. Times
 * are in ms on this VM's clock.
 */
internal data class Submission(
    val job: FleetJob,
    val queue: JobQueue,
    val entryVm: String,
    val arrivedAt: Long,
    val deadlineAt: Long,
    val number: Long = 0,
) {
    val attempt: AttemptKey get() = AttemptKey(entryVm, job.id, number)
}
