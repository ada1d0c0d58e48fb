/*
 * Takes the jobs of this VM's clients to the keeper of the data centre's cell, which dispatches them; without one, this VM dispatches
 * them itself with the rooms of other cells.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.JobAnswer
import dandelionpoint.protocol.peer.JobCancel
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/** Jobs of clients that are connected to the VM [self]. [keeperVm] is the VM that should dispatch, null or [self] for this one. */
internal class JobDesk(
    private val self: () -> VmIdentity,
    private val runner: JobRunner,
    private val link: PeerLink,
    private val isLive: (VmIdentity) -> Boolean,
    private val keeperVm: () -> VmIdentity?,
    private val clock: Clock = Clock.System,
) {
    private class OpenJob(@Volatile var at: VmIdentity? = null, @Volatile var isCancelled: Boolean = false)

    private val open = ConcurrentHashMap<String, OpenJob>()

    fun size(): Int = open.size

    fun has(jobId: String): Boolean = open.containsKey(jobId)

    suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long): JobOutcome {
        val arrivedAt = clock.millis()
        val arrivedWallMs = clock.wallMs()
        val mine = OpenJob()
        val entry = open.putIfAbsent(job.id, mine) ?: mine
        try {
            val outcome = dispatch(Submission(job, queue, self().incarnation, arrivedAt, arrivedAt + waitMs), entry)
            // The steady clock does not count the time for which the VM was suspended.
            val isOverdue = clock.wallMs() - arrivedWallMs > waitMs + OVERDUE_MS
            return if (isOverdue && outcome != JobOutcome.Completed) JobOutcome.GivenUp("the client's deadline has passed") else outcome
        } finally {
            open.remove(job.id, entry)
        }
    }

    private suspend fun dispatch(submission: Submission, entry: OpenJob): JobOutcome {
        val keeper = keeperVm()
        if (keeper == null || keeper == self()) return runner.run(submission)
        entry.at = keeper
        return offer(submission, entry, keeper) ?: runner.run(submission)
    }

    /** Returns null if [keeper] certainly did not take the job. */
    private suspend fun offer(submission: Submission, entry: OpenJob, keeper: VmIdentity): JobOutcome? {
        var mayHaveArrived = false
        while (clock.millis() < submission.deadlineAt) {
            when (val reply = link.call(keeper, offerOf(submission), submission.deadlineAt - clock.millis() + ANSWER_MARGIN_MS)) {
                is PeerReply.Answered -> {
                    val outcome = (reply.message as? JobAnswer)?.outcome
                    val isNotRun = outcome == null || outcome is JobOutcome.NotRun
                    // An earlier offer may have started the job before this one was refused.
                    return if (isNotRun && mayHaveArrived) JobOutcome.GivenUp("an offer to the dispatching VM was lost") else outcome
                }

                is PeerReply.NotSent -> if (!mayHaveArrived) return null

                is PeerReply.Lost -> mayHaveArrived = true
            }
            if (entry.isCancelled || !isLive(keeper)) return JobOutcome.GivenUp("the client or the dispatching VM was lost")
            delay(RETRY_MS)
        }
        return JobOutcome.GivenUp("the client's deadline has passed")
    }

    private fun offerOf(submission: Submission): JobOffer {
        val now = clock.millis()
        return with(submission) { JobOffer(job, queue, ageMs = now - arrivedAt, remainingMs = deadlineAt - now) }
    }

    /** The client has gone. Returns false if the job is not in hand. */
    fun cancel(jobId: String): Boolean {
        val entry = open[jobId] ?: return false
        entry.isCancelled = true
        entry.at?.let { link.send(it, JobCancel(jobId)) }
        runner.cancel(jobId)
        return true
    }

    private companion object {
        /** The keeper answers at the client's deadline; its answer is waited for this much longer, in ms. */
        const val ANSWER_MARGIN_MS = 300L
        const val RETRY_MS = 120L
        const val OVERDUE_MS = 1_000L
    }
}
