/*
 * Passes the jobs of this VM's clients to the VM that dispatches them. Invariant: once a client no longer waits for an attempt, the
 * dispatching VM is told so until it confirms it, and an offer of the attempt that arrives later starts nothing.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.AttemptKey
import dandelionpoint.coordination.fleet.DispatchRoute
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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/** Jobs of the clients that are connected to this VM, [self]. [routeOf] returns the VM that dispatches a job, by its id. */
internal class JobForwarder(
    private val scope: CoroutineScope,
    private val self: () -> VmIdentity,
    private val runner: JobRunner,
    private val link: PeerLink,
    private val isLive: (VmIdentity) -> Boolean,
    private val routeOf: (String) -> DispatchRoute,
    private val clock: Clock = Clock.System,
) {
    /** A submission in progress. [dispatcher] is the VM that it was offered to, null for this VM. */
    private class Attempt(val key: AttemptKey, @Volatile var dispatcher: VmIdentity? = null, @Volatile var isCancelled: Boolean = false)

    private val lastNumber = AtomicLong()
    private val attempts = ConcurrentHashMap<AttemptKey, Attempt>()
    private val unconfirmedCancellations = ConcurrentHashMap.newKeySet<AttemptKey>()

    fun size(): Int = attempts.size

    fun has(jobId: String): Boolean = attempts.keys.any { it.jobId == jobId }

    /** The VMs that the submissions of [jobId] here were offered to; null stands for this VM, and for none yet. */
    fun dispatchersOf(jobId: String): Set<VmIdentity?> = attempts.values.filter { it.key.jobId == jobId }.mapTo(HashSet()) { it.dispatcher }

    /** The other VMs that jobs of this VM's clients were offered to. */
    fun dispatchers(): Set<VmIdentity> = attempts.values.mapNotNullTo(HashSet()) { it.dispatcher }

    /** Cancellations that the dispatching VM has not confirmed yet. */
    fun unconfirmedCancellations(): List<JobCancel> = unconfirmedCancellations.map { JobCancel(it.jobId, it.number) }

    /** Runs a job whose client waits for [waitMs] ms, until [signal] is cancelled. */
    suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long, signal: CancellationSignal = CancellationSignal()): JobOutcome {
        val arrivedAt = clock.millis()
        val arrivedWallMs = clock.wallMs()
        val submission = Submission(job, queue, self().incarnation, arrivedAt, arrivedAt + waitMs, lastNumber.incrementAndGet())
        val attempt = Attempt(submission.attempt)
        attempts[attempt.key] = attempt
        signal.onCancel { cancel(attempt) }
        try {
            val outcome = dispatch(submission, attempt)
            // The monotonic clock does not advance while the VM is suspended; the wall clock does.
            val isOverdue = clock.wallMs() - arrivedWallMs > waitMs + OVERDUE_MS
            return if (isOverdue && outcome != JobOutcome.Completed) JobOutcome.GivenUp("the client's deadline has passed") else outcome
        } finally {
            attempts.remove(attempt.key)
        }
    }

    /** Finds the dispatching VM, which may change until a VM has accepted the job, and returns the job's outcome there. */
    private suspend fun dispatch(submission: Submission, attempt: Attempt): JobOutcome {
        val latest = submission.arrivedAt + ((submission.deadlineAt - submission.arrivedAt) * MAX_ROUTING_SHARE).toLong()
        var redirect: VmIdentity? = null
        while (!attempt.isCancelled) {
            val followed = redirect
            val route = followed?.let { DispatchRoute.At(it) } ?: routeOf(submission.job.id)
            val target = (route as? DispatchRoute.At)?.vm?.takeIf { it != self() }
            if (route == DispatchRoute.Here) return runner.run(submission)
            when (val result = target?.let { offer(submission, attempt, it) }) {
                is OfferResult.Ended -> return result.outcome
                is OfferResult.NotAccepted -> redirect = result.redirect?.takeIf { followed == null }
                null -> redirect = null
            }
            if (clock.millis() >= latest) break
            if (redirect == null) delay(ROUTE_RETRY_MS)
        }
        return JobOutcome.NotRun("no VM that dispatches the job could be reached", RETRY_AFTER_MS)
    }

    private sealed interface OfferResult {
        data class Ended(val outcome: JobOutcome) : OfferResult

        /** The job has certainly not been started; it may be offered to [redirect]. */
        data class NotAccepted(val redirect: VmIdentity?) : OfferResult
    }

    /**
     * Offers the job to [owner]. While [owner] is live, an offer that cannot be sent is repeated: the same job may reach it through another
     * VM, and must not be dispatched by two.
     */
    private suspend fun offer(submission: Submission, attempt: Attempt, owner: VmIdentity): OfferResult {
        attempt.dispatcher = owner
        var mayHaveArrived = false
        while (clock.millis() < submission.deadlineAt && !attempt.isCancelled) {
            when (val reply = link.call(owner, offerOf(submission), submission.deadlineAt - clock.millis() + ANSWER_MARGIN_MS)) {
                is PeerReply.Answered -> return resultOf(reply.message as? JobAnswer, mayHaveArrived)

                is PeerReply.NotSent -> if (!mayHaveArrived && !isLive(owner)) return OfferResult.NotAccepted(redirect = null)

                is PeerReply.Lost -> {
                    mayHaveArrived = true
                    log.info { "event=offer_lost job=${submission.job.id} owner=${owner.name} reason=\"${reply.reason}\"" }
                }
            }
            if (!isLive(owner)) break
            delay(RETRY_MS)
        }
        if (!mayHaveArrived) return OfferResult.Ended(JobOutcome.NotRun("the dispatching VM could not be reached", RETRY_AFTER_MS))
        cancelAt(owner, attempt.key)
        return OfferResult.Ended(JobOutcome.GivenUp("the client or the dispatching VM was lost, or the client's deadline has passed"))
    }

    private fun resultOf(answer: JobAnswer?, mayHaveArrived: Boolean): OfferResult {
        val outcome = answer?.outcome
        val isNotRun = outcome == null || outcome is JobOutcome.NotRun
        return when {
            // An earlier offer may have started the job before this one was refused.
            isNotRun && mayHaveArrived -> OfferResult.Ended(JobOutcome.GivenUp("an offer to the dispatching VM was lost"))

            outcome == null -> OfferResult.NotAccepted(answer?.redirect)

            else -> OfferResult.Ended(outcome)
        }
    }

    private fun offerOf(submission: Submission): JobOffer {
        val now = clock.millis()
        return with(submission) { JobOffer(job, queue, ageMs = now - arrivedAt, remainingMs = deadlineAt - now, attempt = number) }
    }

    /** Ends the attempts of a job here because its client has left or has asked for it. Returns false if there are none in progress. */
    fun cancel(jobId: String): Boolean {
        val ofJob = attempts.values.filter { it.key.jobId == jobId }
        ofJob.forEach { cancel(it) }
        return ofJob.isNotEmpty()
    }

    /** Ends all attempts in progress, so that their clients are answered. */
    fun cancelAll() = attempts.values.forEach { cancel(it) }

    private fun cancel(attempt: Attempt) {
        attempt.isCancelled = true
        log.info { "event=job_cancelled job=${attempt.key.jobId} dispatcher=${attempt.dispatcher?.name}" }
        attempt.dispatcher?.let { cancelAt(it, attempt.key) }
        runner.cancel(attempt.key)
    }

    /** Tells [dispatcher] that no client waits for [attempt], until it confirms it. */
    private fun cancelAt(dispatcher: VmIdentity, attempt: AttemptKey) {
        unconfirmedCancellations += attempt
        scope.launch {
            try {
                repeatCancellation(dispatcher, attempt)
            } finally {
                unconfirmedCancellations -= attempt
            }
        }
    }

    private suspend fun repeatCancellation(dispatcher: VmIdentity, attempt: AttemptKey) {
        val latest = clock.millis() + CANCEL_PERIOD_MS
        while (clock.millis() < latest) {
            val reply = link.call(dispatcher, JobCancel(attempt.jobId, attempt.number), CANCEL_TIMEOUT_MS)
            if (reply is PeerReply.Answered) return
            delay(CANCEL_RETRY_MS)
        }
        log.info { "event=cancel_not_confirmed job=${attempt.jobId} dispatcher=${dispatcher.name}" }
    }

    private companion object {
        /** The owner replies by the client's deadline at the latest; the wait for its reply is this much longer, in ms. */
        const val ANSWER_MARGIN_MS = 300L
        const val RETRY_MS = 120L

        /** Pause before the dispatching VM is looked up again after a VM has not accepted the job, in ms. */
        const val ROUTE_RETRY_MS = 30L

        /** A job that no VM has accepted is refused after this share of the time that its client waits. */
        const val MAX_ROUTING_SHARE = 0.4

        /** Time after which a client may submit a job again that could not be offered, in ms. */
        const val RETRY_AFTER_MS = 1_000L

        /** Longest wait for the answer to a cancellation, before it is repeated, in ms. */
        const val CANCEL_TIMEOUT_MS = 200L

        /** Pause before a cancellation is repeated, in ms. */
        const val CANCEL_RETRY_MS = 50L

        /** How long a cancellation is repeated, in ms: longer than the dispatching VM takes to declare this VM lost. */
        const val CANCEL_PERIOD_MS = 3_000L

        /** A job that took this much longer than its client waits, by the wall clock, was delayed by a suspension of the VM, in ms. */
        const val OVERDUE_MS = 1_000L
    }
}
