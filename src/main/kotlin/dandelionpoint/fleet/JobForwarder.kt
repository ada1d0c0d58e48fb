/*
 * Forwards the jobs of this VM's clients to the owner of the cell of its data centre, which dispatches them. Without a live owner, this VM
 * dispatches them itself, with the free capacity of other cells.
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
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Jobs of the clients that are connected to this VM, [self]. [ownerVm] returns the VM that dispatches them; null or [self] for this VM. */
internal class JobForwarder(
    private val self: () -> VmIdentity,
    private val runner: JobRunner,
    private val link: PeerLink,
    private val isLive: (VmIdentity) -> Boolean,
    private val ownerVm: () -> VmIdentity?,
    private val clock: Clock = Clock.System,
) {
    /** A job in progress. [forwardedTo] is the VM that dispatches it, null for this VM. */
    private class OpenJob(@Volatile var forwardedTo: VmIdentity? = null, @Volatile var isCancelled: Boolean = false)

    private val open = ConcurrentHashMap<String, OpenJob>()

    fun size(): Int = open.size

    fun has(jobId: String): Boolean = open.containsKey(jobId)

    suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long): JobOutcome {
        val arrivedAt = clock.millis()
        val arrivedWallMs = clock.wallMs()
        val own = OpenJob()
        val entry = open.putIfAbsent(job.id, own) ?: own
        try {
            val outcome = dispatch(Submission(job, queue, self().incarnation, arrivedAt, arrivedAt + waitMs), entry)
            // The monotonic clock does not advance while the VM is suspended; the wall clock does.
            val isOverdue = clock.wallMs() - arrivedWallMs > waitMs + OVERDUE_MS
            return if (isOverdue && outcome != JobOutcome.Completed) JobOutcome.GivenUp("the client's deadline has passed") else outcome
        } finally {
            open.remove(job.id, entry)
        }
    }

    private suspend fun dispatch(submission: Submission, entry: OpenJob): JobOutcome {
        val owner = ownerVm()
        if (owner == null || owner == self()) return runner.run(submission)
        entry.forwardedTo = owner
        return offer(submission, entry, owner) ?: runner.run(submission)
    }

    /** Offers the job to [owner] and returns its outcome; null if [owner] certainly did not accept the job. */
    private suspend fun offer(submission: Submission, entry: OpenJob, owner: VmIdentity): JobOutcome? {
        var mayHaveArrived = false
        while (clock.millis() < submission.deadlineAt) {
            when (val reply = link.call(owner, offerOf(submission), submission.deadlineAt - clock.millis() + ANSWER_MARGIN_MS)) {
                is PeerReply.Answered -> {
                    val outcome = (reply.message as? JobAnswer)?.outcome
                    val isNotRun = outcome == null || outcome is JobOutcome.NotRun
                    // An earlier offer may have started the job before this one was refused.
                    return if (isNotRun && mayHaveArrived) JobOutcome.GivenUp("an offer to the dispatching VM was lost") else outcome
                }

                is PeerReply.NotSent -> if (!mayHaveArrived) return null

                is PeerReply.Lost -> {
                    mayHaveArrived = true
                    log.info { "event=offer_lost job=${submission.job.id} owner=${owner.name} reason=\"${reply.reason}\"" }
                }
            }
            if (entry.isCancelled || !isLive(owner)) return JobOutcome.GivenUp("the client or the dispatching VM was lost")
            delay(RETRY_MS)
        }
        return JobOutcome.GivenUp("the client's deadline has passed")
    }

    private fun offerOf(submission: Submission): JobOffer {
        val now = clock.millis()
        return with(submission) { JobOffer(job, queue, ageMs = now - arrivedAt, remainingMs = deadlineAt - now) }
    }

    /** Ends a job because its client has disconnected or asked for it. Returns false if the job is not in progress. */
    fun cancel(jobId: String): Boolean {
        val entry = open[jobId] ?: return false
        entry.isCancelled = true
        log.info { "event=job_cancelled job=$jobId dispatcher=${entry.forwardedTo?.name}" }
        entry.forwardedTo?.let { link.send(it, JobCancel(jobId)) }
        runner.cancel(jobId)
        return true
    }

    private companion object {
        /** The owner replies by the client's deadline at the latest; the wait for its reply is this much longer, in ms. */
        const val ANSWER_MARGIN_MS = 300L
        const val RETRY_MS = 120L

        /** A job that took this much longer than its client waits, by the wall clock, was delayed by a suspension of the VM, in ms. */
        const val OVERDUE_MS = 1_000L
    }
}
