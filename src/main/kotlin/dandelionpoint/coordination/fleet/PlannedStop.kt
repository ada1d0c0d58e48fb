/*
 * Which jobs a VM accepts during its planned stop. Invariant: a VM that stops starts no job that may not have ended when its process ends,
 * and answers each job that it has accepted before.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome

/** A planned stop, in which the jobs in progress are ended at [endsAt] (ms on the VM's monotonic clock). */
internal class PlannedStop(val endsAt: Long) {
    /**
     * The refusal at [now] of a job whose client waits for [waitMs] ms, null if the job is accepted: it will have been answered by
     * [endsAt], since its client does not wait longer or since there is time for twice its estimated length.
     */
    fun refusal(job: FleetJob, waitMs: Long, now: Long): JobOutcome.NotRun? {
        val neededMs = minOf(waitMs, LENGTH_FACTOR * job.longestChainMs() + START_MS)
        return if (now + neededMs <= endsAt) null else JobOutcome.NotRun("the VM stops", RETRY_AFTER_MS)
    }

    private companion object {
        /** Estimates may be 40 % too short and workers slower than the average. */
        const val LENGTH_FACTOR = 2

        /** Time for the offer of the job, its start and the reports of its ends, in ms. */
        const val START_MS = 150L

        /** Time after which the client may submit the job again, to another VM, in ms. */
        const val RETRY_AFTER_MS = 1_000L
    }
}
