/*
 * The jobs that this VM dispatches, and the order in which their tasks get room. A job that cannot be on time is refused before any of
 * its tasks is started; one that has started is carried on until its client has gone. Plain state behind one lock: the caller passes
 * the time in and carries out what is returned.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun

/** What the caller of [Dispatch] has to do. */
internal sealed interface DispatchEvent {
    data class Finished(val jobId: String, val outcome: JobOutcome) : DispatchEvent

    /** Stop a run whose job has ended. */
    data class StopRun(val run: TaskRun, val place: RunPlace) : DispatchEvent
}

/** Finds room for an order and starts it; null if there is none. Called with the dispatch lock held. */
internal fun interface RoomFinder {
    fun place(order: RunOrder): RunPlace?
}

/**
 * When jobs are refused.
 *
 * @property lateFactor a job is refused if its expected end is later than this many times its objective
 * @property holdShare a job that has not started is refused after this share of its client's time, so that the client can come again
 * @property retryAfterMs when a refused client may come again, in ms
 * @property maxJobs most jobs in hand
 * @property uncertainMs a task whose run was lost with another VM is not started again for this long, in ms
 */
internal data class DispatchRules(
    val lateFactor: Double = 1.3,
    val holdShare: Double = 0.4,
    val retryAfterMs: Long = 1_000,
    val maxJobs: Int = 2_000,
    val uncertainMs: Long = 2_000,
)

/** What a job is submitted with: the VM that holds the client and the times on this VM's clock, in ms. */
internal data class Submission(val job: FleetJob, val queue: JobQueue, val entryVm: String, val arrivedAt: Long, val deadlineAt: Long)

/** The jobs in hand. [origin] is this VM's incarnation. All times are in ms on the VM's monotonic clock. */
internal class Dispatch(private val origin: String, private val rules: DispatchRules = DispatchRules()) {
    private val lock = Any()
    private val jobs = LinkedHashMap<String, DispatchedJob>()

    /**
     * Takes a job. [poolCores] are the cores of the usable workers of its pool, [rooms] places what fits at once. Returns the events;
     * without a `Finished` for the job, it is in hand.
     */
    fun submit(submission: Submission, poolCores: Double, now: Long, rooms: RoomFinder): List<DispatchEvent> = synchronized(lock) {
        if (submission.job.id in jobs) return@synchronized emptyList()
        val job = with(submission) { DispatchedJob(this.job, queue, entryVm, arrivedAt, deadlineAt) }
        val refusal = refusal(job, poolCores, now)
        if (refusal != null) return@synchronized listOf(DispatchEvent.Finished(job.job.id, refusal))
        jobs[job.job.id] = job
        fill(now, rooms)
    }

    private fun refusal(job: DispatchedJob, poolCores: Double, now: Long): JobOutcome? {
        if (jobs.size >= rules.maxJobs) return notRun("too many jobs in hand")
        if (now >= job.deadlineAt) return notRun("the client's deadline has passed")
        // Without a usable worker the job waits for one, since a keeper may just be taking over; expire() refuses it in time.
        if (poolCores <= 0.0) return null
        val ahead = jobs.values.filter { it.queue.pool == job.queue.pool && isAhead(it, job) }.sumOf { it.waitingCoreMs() }
        val waitMs = (ahead + job.waitingCoreMs() / 2) / poolCores
        val expected = now + waitMs.toLong() + job.remainingChainMs()
        val limit = minOf(job.arrivedAt + (job.objectiveMs * rules.lateFactor).toLong(), job.deadlineAt)
        return if (ahead > 0 && expected > limit) notRun("expected to end ${expected - job.arrivedAt} ms after its arrival") else null
    }

    private fun isAhead(other: DispatchedJob, job: DispatchedJob) = urgency(other) <= urgency(job)

    /** Latest time at which the rest of the job must get room to be on time: the smallest goes first. */
    private fun urgency(job: DispatchedJob): Long = job.arrivedAt + job.objectiveMs - job.remainingChainMs()

    private fun notRun(reason: String) = JobOutcome.NotRun(reason, rules.retryAfterMs)

    /** Gives room to waiting tasks, the most urgent job first. */
    fun schedule(now: Long, rooms: RoomFinder): List<DispatchEvent> = synchronized(lock) { fill(now, rooms) }

    private fun fill(now: Long, rooms: RoomFinder): List<DispatchEvent> {
        val events = expire(now).toMutableList()
        var misses = 0
        for (job in jobs.values.sortedWith(compareBy({ it.queue.priority }, ::urgency))) {
            for (task in job.waiting(now)) {
                val order = job.order(task, origin)
                val place = rooms.place(order)
                if (place == null) {
                    misses++
                    break
                }
                task.run = order.run.run
                task.place = place
                job.hasStarted = true
            }
            if (misses >= MAX_MISSES) break
        }
        return events
    }

    /** Ends jobs whose client has gone, and refuses jobs that have not started and can no longer be on time. */
    private fun expire(now: Long): List<DispatchEvent> {
        val events = mutableListOf<DispatchEvent>()
        for (job in jobs.values.toList()) {
            when {
                now >= job.deadlineAt && job.hasStarted -> events += finish(job, JobOutcome.GivenUp("the client's deadline has passed"))
                !job.hasStarted && now >= latestStart(job) -> events += finish(job, notRun("no room in time"))
            }
        }
        return events
    }

    private fun latestStart(job: DispatchedJob): Long {
        val inTime = job.arrivedAt + (job.objectiveMs * rules.lateFactor).toLong() - job.remainingChainMs()
        val held = job.arrivedAt + ((job.deadlineAt - job.arrivedAt) * rules.holdShare).toLong()
        return minOf(inTime, held)
    }

    /** Takes the end of a run. [avoid] is the worker it was on, if known. */
    fun onRunEnd(run: TaskRun, end: RunEnd, avoid: String?, now: Long): List<DispatchEvent> = synchronized(lock) {
        val job = jobs[run.task.jobId] ?: return@synchronized emptyList()
        val task = job.task(run.task)?.takeIf { it.run == run.run && it.place != null } ?: return@synchronized emptyList()
        val wasRemote = task.place is RunPlace.Remote
        task.place = null
        task.hasFailedLast = end == RunEnd.FAILED
        when (end) {
            RunEnd.DONE -> task.isDone = true

            RunEnd.FAILED -> {
                task.failures++
                task.avoid = avoid
            }

            RunEnd.LOST -> {
                task.avoid = avoid
                if (wasRemote && avoid == null) task.notBefore = now + rules.uncertainMs
            }

            RunEnd.NOT_STARTED -> {
                task.avoid = avoid
                task.notBefore = now + NOT_STARTED_PAUSE_MS
            }
        }
        when {
            job.isDone -> finish(job, JobOutcome.Completed)
            task.failures >= job.queue.maxAttempts -> finish(job, JobOutcome.Failed)
            task.notBefore >= job.deadlineAt -> finish(job, JobOutcome.GivenUp("a run was lost with another VM"))
            else -> emptyList()
        }
    }

    /** Ends the job because its client has gone. */
    fun cancel(jobId: String): List<DispatchEvent> =
        synchronized(lock) { jobs[jobId]?.let { finish(it, JobOutcome.GivenUp("cancelled")) } ?: emptyList() }

    /** Ends the jobs whose client was connected to the VM with the incarnation [vm]. */
    fun cancelFrom(vm: String): List<DispatchEvent> = synchronized(lock) {
        jobs.values.filter { it.entryVm == vm }.flatMap { finish(it, JobOutcome.GivenUp("the client's VM was lost")) }
    }

    /** Ends all jobs: this VM has stood still, so that the rest of the fleet has given it up. */
    fun cancelAll(reason: String): List<DispatchEvent> = synchronized(lock) {
        jobs.values.toList().flatMap { finish(it, if (it.hasStarted) JobOutcome.GivenUp(reason) else notRun(reason)) }
    }

    private fun finish(job: DispatchedJob, outcome: JobOutcome): List<DispatchEvent> {
        jobs.remove(job.job.id)
        val stops = job.placed().map { DispatchEvent.StopRun(TaskRun(it.ref, it.run), checkNotNull(it.place)) }
        return stops + DispatchEvent.Finished(job.job.id, outcome)
    }

    fun size(): Int = synchronized(lock) { jobs.size }

    fun has(jobId: String): Boolean = synchronized(lock) { jobId in jobs }

    /** Jobs without a started task, by queue. */
    fun waitingJobs(): Map<String, Int> =
        synchronized(lock) { jobs.values.filter { !it.hasStarted }.groupingBy { it.queue.name }.eachCount() }

    private companion object {
        /** After this many jobs without room, the pass ends. */
        const val MAX_MISSES = 16

        /** Pause before a run that a worker refused is placed again, in ms. */
        const val NOT_STARTED_PAUSE_MS = 5L
    }
}
