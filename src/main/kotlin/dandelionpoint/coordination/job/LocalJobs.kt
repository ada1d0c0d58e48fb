/*
 * Jobs and requests on the VM that runs them. The order of the steps matters: first the shard's ownership grants the right to start the
 * id, so that a resubmission finds the first submission. Only that grant proves that the id has not run, so only after it may a refusal
 * say so. Then preset, team and admission are checked; a job that they refuse is recorded under its id as failed and not run.
 */
package dandelionpoint.coordination.job

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.coordination.admission.JobDemand
import dandelionpoint.coordination.admission.TeamQueues
import dandelionpoint.coordination.dispatch.Dispatcher
import dandelionpoint.coordination.dispatch.WorkItem
import dandelionpoint.coordination.ownership.Lookup
import dandelionpoint.coordination.ownership.ShardOwnership
import dandelionpoint.coordination.ownership.StartDecision
import dandelionpoint.coordination.placement.Placement
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.RequestSubmission
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.state.job.Job
import dandelionpoint.state.job.JobRegistry
import dandelionpoint.state.queue.QueuedJob
import dandelionpoint.state.record.Record
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Answer of this VM to a call for a submission: the job's view, a refusal, or the VM to call instead. */
internal sealed interface LocalAnswer {
    data class Found(val view: JobView) : LocalAnswer

    data class Refused(val refusal: Refusal) : LocalAnswer

    data class Redirect(val vm: VmIdentity) : LocalAnswer
}

/** Components that [LocalJobs] uses. */
internal class LocalJobsDependencies(
    val ownership: ShardOwnership,
    val queues: TeamQueues,
    val placement: Placement,
    val capacity: CapacityView,
    val dispatcher: Dispatcher,
    /** Called for each request without an id, to refill the budgets for retries and hedged calls. */
    val countRequest: () -> Unit,
    val clock: Clock,
    val random: Random,
    /** The refusal for new work of a team, or null if new work is accepted now. */
    val newWorkRefusal: (team: String) -> Refusal?,
)

/** Runs jobs and requests on this VM. */
internal class LocalJobs(private val scope: CoroutineScope, private val dependencies: LocalJobsDependencies) {
    private val registry = JobRegistry()

    /** Number of jobs and requests that this VM runs, and of jobs whose outcome it is recording. */
    fun activeCount(): Int = registry.size() + dependencies.dispatcher.activeItems()

    /** Starts a submission with [remainingMs] left to its deadline, or returns the state of an earlier submission of its id. */
    suspend fun submit(submission: JobSubmission, remainingMs: Int, traceParent: String?): LocalAnswer {
        val digest = submission.digest()
        registry.find(submission.id)?.let { return answerFor(it, digest) }
        return when (val decision = dependencies.ownership.decideStart(submission.id, digest)) {
            is StartDecision.Start -> start(submission, digest, remainingMs, traceParent)
            is StartDecision.Running -> awaitRegistered(submission.id, digest)
            is StartDecision.Finished -> LocalAnswer.Found(decision.record.view)
            is StartDecision.Refused -> LocalAnswer.Refused(decision.refusal)
            is StartDecision.Forward -> LocalAnswer.Redirect(decision.to)
        }
    }

    private fun answerFor(job: Job, digest: String): LocalAnswer =
        if (job.digest == digest) LocalAnswer.Found(job.view()) else LocalAnswer.Refused(Refusal(ResultCode.ID_REUSED))

    /**
     * Waits, at most [REGISTRY_ATTEMPTS] times [REGISTRY_PAUSE_MS], for a job that another call has just started and not yet put in the
     * registry, or has just recorded and removed from it.
     */
    private suspend fun awaitRegistered(id: SubmissionId, digest: String): LocalAnswer {
        repeat(REGISTRY_ATTEMPTS) {
            registry.find(id)?.let { return answerFor(it, digest) }
            when (val found = dependencies.ownership.lookup(id)) {
                is Lookup.Finished -> return LocalAnswer.Found(found.record.view)
                is Lookup.Forward -> return LocalAnswer.Redirect(found.to)
                else -> delay(REGISTRY_PAUSE_MS)
            }
        }
        return LocalAnswer.Refused(Refusal(ResultCode.FORWARD_LOST))
    }

    private fun start(submission: JobSubmission, digest: String, remainingMs: Int, traceParent: String?): LocalAnswer {
        val job = newJob(submission, digest, remainingMs)
        registry.putIfAbsent(job)
        scope.launch { recordWhenDone(job) }
        val refused =
            dependencies.newWorkRefusal(submission.team)?.left() ?: admit(WorkItem(job, queuedJob(job), traceParent = traceParent))
        refused.onLeft { refusal ->
            job.fail(whenQueued = refusal.code, whenStarted = ResultCode.TASK_FAILED, reason = refusal.detail)
            return LocalAnswer.Refused(refusal)
        }
        return LocalAnswer.Found(job.view())
    }

    private suspend fun recordWhenDone(job: Job) {
        val view = job.done.await()
        val submission = job.submission
        val durable = dependencies.ownership.finish(Record(submission.id, submission.team, job.digest, view.copy(recorded = true)))
        job.recorded = durable
        registry.remove(submission.id)
    }

    /** Runs a request without an id and returns its outcome. No record is written, since no later call can refer to the request. */
    suspend fun request(request: RequestSubmission, traceParent: String?): Either<Refusal, JobView> {
        dependencies.countRequest()
        val id = SubmissionId.create(dependencies.clock.wallMs(), dependencies.random.nextLong(), dependencies.random.nextLong())
        val submission = request.asJob(id)
        (refusalOf(submission) ?: dependencies.newWorkRefusal(request.team))?.let { return it.left() }
        val job = newJob(submission, digest = "", remainingMs = request.deadlineMs)
        admit(WorkItem(job, queuedJob(job), isRetryable = request.idempotent, traceParent = traceParent)).onLeft { return it.left() }
        return job.done.await().right()
    }

    private fun newJob(submission: JobSubmission, digest: String, remainingMs: Int): Job {
        val nowMs = dependencies.clock.millis()
        return Job(submission, digest, receivedMs = nowMs, deadlineMs = nowMs + remainingMs)
    }

    private fun queuedJob(job: Job): QueuedJob {
        val submission = job.submission
        val declaredMs = submission.tasks.sumOf { it.declaredMs } / submission.tasks.size
        return QueuedJob(
            id = submission.id,
            team = submission.team,
            deadlineMs = job.deadlineMs,
            taskCount = submission.tasks.size,
            expectedTaskMs = dependencies.placement.expectedMs(submission.taskClass, declaredMs),
            taskClass = submission.taskClass,
        )
    }

    private fun admit(item: WorkItem): Either<Refusal, Unit> {
        val cluster = dependencies.capacity.lastUsable() ?: return Refusal(ResultCode.NO_WORKER).left()
        val admitted = dependencies.queues.admit(JobDemand(item.queued, item.job.submission.memoryMb), cluster)
        // A job that was admitted is refused by the queue only if it can no longer end by its deadline.
        if (admitted.isRight() && !dependencies.dispatcher.submit(item)) return Refusal(ResultCode.DEADLINE_UNREACHABLE).left()
        return admitted
    }

    /** Reads, waits for or cancels a job that is in the registry of this VM, or reads its record. */
    suspend fun call(call: JobCall): LocalAnswer {
        val job = registry.find(call.id) ?: return answerFromRecord(call)
        if (call.team != null && call.team != job.submission.team) return LocalAnswer.Refused(Refusal(ResultCode.FORBIDDEN))
        if (call.cancel && job.cancel()) dependencies.queues.cancel(call.id)
        if (call.waitMs > 0) withTimeoutOrNull(call.waitMs.toLong()) { job.done.await() }
        return LocalAnswer.Found(job.view())
    }

    private suspend fun answerFromRecord(call: JobCall): LocalAnswer = when (val found = dependencies.ownership.lookup(call.id)) {
        is Lookup.Finished -> {
            val record = found.record
            if (call.team != null && call.team != record.team) {
                LocalAnswer.Refused(Refusal(ResultCode.FORBIDDEN))
            } else {
                LocalAnswer.Found(record.view)
            }
        }

        is Lookup.Running -> registry.find(call.id)?.let { LocalAnswer.Found(it.view()) }
            ?: LocalAnswer.Refused(Refusal(ResultCode.FORWARD_LOST))

        is Lookup.Unknown -> LocalAnswer.Refused(Refusal(ResultCode.UNKNOWN_ID))

        is Lookup.OwnerLost -> LocalAnswer.Refused(Refusal(ResultCode.OWNER_LOST))

        is Lookup.Forward -> LocalAnswer.Redirect(found.to)
    }

    private companion object {
        const val REGISTRY_ATTEMPTS = 100
        const val REGISTRY_PAUSE_MS = 10L
    }
}
