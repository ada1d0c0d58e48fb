/*
 * The jobs that this VM dispatches, and the order in which their tasks get free capacity. A job that cannot be on time is refused before
 * any of its tasks is started; one that has started is continued until its client has disconnected or its deadline has passed. This is
 * state behind one lock, without I/O: the caller passes in the time and carries out the events that are returned.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun

/**
 * The jobs in progress. [origin] is this VM's incarnation. A scheduling pass also serves [waitingRuns], the runs that other VMs have
 * requested. All times are in ms on the VM's monotonic clock.
 */
internal class Dispatch(
    private val origin: String,
    private val rules: DispatchRules = DispatchRules(),
    private val waitingRuns: WaitingRuns = WaitingRuns(),
) {
    private val lock = Any()
    private val jobs = LinkedHashMap<String, DispatchedJob>()
    private val stopping = StoppingRuns()
    private var lastDispatch = 0L

    /** Cores of the usable workers by pool, as of the last submission. */
    private val knownCores = HashMap<String, Double>()
    private val report = WaitingReport()

    /** True if a task was waiting, for capacity or for another reason, at the end of the last scheduling pass, or has begun to since. */
    @Volatile
    var hasWaitingTasks = false
        private set

    /** True if a task of this VM, or a run that another VM has requested, waits. */
    val hasWaitingWork: Boolean get() = hasWaitingTasks || !waitingRuns.isEmpty

    /** Answers to the latest attempts, for offers that arrive again, or only after their cancellation. */
    private val answers = ExpiringMap<AttemptKey, JobOutcome>()

    /** When jobs were cancelled by their ids. Submissions that arrived earlier start nothing, also if they are offered later. */
    private val cancelledAt = ExpiringMap<String, Long>()

    /**
     * Accepts or refuses a job. [poolCores] is the number of cores of the usable workers of its pool; [placer] places the tasks that can
     * start at once. The job is in progress unless the returned events contain a `Finished` for it. Idempotent: an attempt that has been
     * answered or cancelled gets the same answer again.
     */
    fun submit(submission: Submission, poolCores: Double, now: Long, placer: RunPlacer): List<DispatchEvent> = synchronized(lock) {
        answers[submission.attempt]?.let { return@synchronized listOf(answer(submission.job.id, setOf(submission.attempt), it, now)) }
        if (isCancelled(submission)) {
            return@synchronized listOf(answer(submission.job.id, setOf(submission.attempt), CANCELLED, now))
        }
        jobs[submission.job.id]?.let { inProgress ->
            inProgress.join(submission)
            return@synchronized emptyList()
        }
        val job = DispatchedJob(submission, ++lastDispatch)
        knownCores[submission.queue.pool] = poolCores
        val refusal = refusal(job, poolCores, now, placer)
        if (refusal != null) return@synchronized listOf(answer(job.job.id, job.attempts, refusal, now))
        jobs[job.job.id] = job
        placeWaitingTasks(now, placer)
    }

    private fun refusal(job: DispatchedJob, poolCores: Double, now: Long, placer: RunPlacer): JobOutcome? = when {
        jobs.size >= rules.maxJobs -> notRun(job, RefusalReason.TOO_MANY_JOBS, "too many jobs in progress")

        now >= job.deadlineAt -> notRun(job, RefusalReason.DEADLINE_PASSED, "the client's deadline has passed")

        // Without a usable worker the job waits for one, since another VM may just be taking a cell over; expire() refuses it in time.
        poolCores <= 0.0 -> null

        else -> refusalByWait(job, poolCores, now, placer)
    }

    /** The refusal of a job that cannot be on time by the least of the expected waits, here and elsewhere. */
    private fun refusalByWait(job: DispatchedJob, poolCores: Double, now: Long, placer: RunPlacer): JobOutcome? {
        val latestEnd = minOf(job.arrivedAt + (job.objectiveMs * rules.lateFactor).toLong(), job.deadlineAt)
        val maxWaitMs = latestEnd - job.remainingChainMs() - (job.waitingCoreMs() / 2 / poolCores).toLong() - now
        val aheadCoreMs = aheadCoreMs(job)
        val ownWaitMs = aheadCoreMs / poolCores
        if (aheadCoreMs == 0L || ownWaitMs.toLong() <= maxWaitMs) return null
        val waitMs = minOf(ownWaitMs, placer.waitElsewhereMs(job.queue, ownWaitMs) ?: ownWaitMs)
        if (waitMs.toLong() <= maxWaitMs) return null
        return notRun(job, RefusalReason.EXPECTED_WAIT, "expected to wait for ${waitMs.toLong()} ms", waitMs)
    }

    /** Work that waits here and gets capacity before [job], in core-ms. */
    private fun aheadCoreMs(job: DispatchedJob): Long {
        val pool = job.queue.pool
        val own = jobs.values.filter { it.queue.pool == pool && it.urgency <= job.urgency }.sumOf { it.waitingCoreMs() }
        return own + waitingRuns.inOrder().filter { it.pool == pool && it.urgency < job.urgency }.sumOf { it.coreMs }
    }

    private fun notRun(
        job: DispatchedJob,
        reason: RefusalReason,
        description: String,
        expectedWaitMs: Double = expectedWaitMs(job),
    ): JobOutcome {
        report.recordRefusal(reason)
        return JobOutcome.NotRun(description, retryAfterMs(job.job.id, expectedWaitMs, rules.retrySpreadMs))
    }

    /** The wait for work like [job] that is submitted now, in ms. */
    private fun expectedWaitMs(job: DispatchedJob): Double {
        val cores = knownCores[job.queue.pool]?.takeIf { it > 0 } ?: return 0.0
        return waitingWork(jobs.values, waitingRuns.inOrder()).upTo(job.queue.pool, job.queue.priority) / cores
    }

    /** The work that waits for capacity in this VM's cells, its own and that of other VMs: see [WaitingWork.announced]. */
    fun backlog(): Map<String, List<Long>> = if (hasWaitingWork) {
        synchronized(lock) {
            waitingWork(jobs.values, waitingRuns.inOrder()).announced()
        }
    } else {
        emptyMap()
    }

    /** Places waiting tasks and the waiting runs of other VMs, by queue priority and then by urgency. */
    fun schedule(now: Long, placer: RunPlacer): List<DispatchEvent> = synchronized(lock) { placeWaitingTasks(now, placer) }

    private fun placeWaitingTasks(now: Long, placer: RunPlacer): List<DispatchEvent> {
        stopping.prune(now)
        val expired = waitingRuns.removeExpired(now)
        expired.forEach { _ -> report.recordRefusal(RefusalReason.PEER_RUN_EXPIRED) }
        val events = expire(now) + expired.map { DispatchEvent.WaitingRunExpired(it) }
        SchedulingPass(now, placer).run()
        hasWaitingTasks = jobs.values.any { it.hasWaitingTasks }
        return events
    }

    /**
     * Goes through this VM's jobs and the waiting runs of other VMs in one order. It ends after [MAX_UNPLACED_COST], since each attempt to
     * place a run costs processor time. Nothing less urgent is placed after that: a more urgent run may not have been tried.
     */
    private inner class SchedulingPass(private val now: Long, private val placer: RunPlacer) {
        private val runs = waitingRuns.inOrder()
        private var nextRun = 0
        private var unplacedCost = 0

        /** Work that was tried before and fitted nowhere, by pool. */
        private val aheadCoreMs = HashMap<String, Long>()
        private val hasEnded: Boolean get() = unplacedCost >= MAX_UNPLACED_COST

        fun run() {
            for (job in jobs.values.sortedBy { it.urgency }) {
                placeRuns { it.urgency < job.urgency }
                if (hasEnded) return
                placeTasks(job)
            }
            placeRuns { true }
        }

        private fun placeRuns(isDue: (RunOrder) -> Boolean) {
            while (!hasEnded && nextRun < runs.size && isDue(runs[nextRun])) {
                val run = runs[nextRun++]
                if (waitingRuns.startIfWaiting(run.key) { placer.placeForPeer(it) }) continue
                unplacedCost++
                aheadCoreMs.merge(run.pool, run.coreMs, Long::plus)
            }
        }

        private fun placeTasks(job: DispatchedJob) {
            val latestStartAt = if (job.hasStarted) job.deadlineAt - job.remainingChainMs() else latestStart(job)
            for (task in job.waiting(now).filter { !stopping.mayRun(it.ref, now) }) {
                val order = job.nextOrder(task, origin, latestStartAt)
                val location = placer.place(order) ?: placer.placeToWait(order, aheadOf(job, order))
                if (location == null) {
                    unplacedCost += UNPLACED_JOB_COST
                    aheadCoreMs.merge(job.queue.pool, job.waitingCoreMs(), Long::plus)
                    return
                }
                job.recordPlaced(task, order, location)
            }
        }

        /** What the last one of the tasks of [job] that still wait, all like [order], has to wait for. */
        private fun aheadOf(job: DispatchedJob, order: RunOrder) = (aheadCoreMs[order.pool] ?: 0) + job.waitingCoreMs() - order.coreMs
    }

    /** Ends started jobs whose deadline has passed, and refuses jobs that have not started and can no longer be on time. */
    private fun expire(now: Long): List<DispatchEvent> {
        val events = mutableListOf<DispatchEvent>()
        for (job in jobs.values.toList()) {
            when {
                now >= job.deadlineAt && job.hasStarted ->
                    events += finish(job, JobOutcome.GivenUp("the client's deadline has passed"), now)

                !job.hasStarted && now >= latestStart(job) ->
                    events +=
                        finish(job, notRun(job, RefusalReason.NO_CAPACITY, "no free worker capacity in time"), now)
            }
        }
        return events
    }

    private fun latestStart(job: DispatchedJob): Long {
        val latestOnTimeStart = job.arrivedAt + (job.objectiveMs * rules.lateFactor).toLong() - job.remainingChainMs()
        val maxWaitEnd = job.arrivedAt + ((job.deadlineAt - job.arrivedAt) * rules.maxWaitShare).toLong()
        return minOf(latestOnTimeStart, maxWaitEnd)
    }

    /**
     * Applies the end of the run [key]. [avoid] is the worker that it was on, which the next run of the task avoids; empty if that worker
     * is unknown, null if the run was remote and the other VM gave no answer.
     */
    fun onRunEnd(key: RunKey, end: RunEnd, avoid: String?, now: Long): List<DispatchEvent> = synchronized(lock) {
        val isReported = avoid != null || end == RunEnd.NOT_STARTED
        stopping.onEnd(key, endsAt = if (isReported) now else now + rules.lostRemoteRunDelayMs)
        val job = jobs[key.run.task.jobId]?.takeIf { it.dispatch == key.dispatch } ?: return@synchronized emptyList()
        val task = job.task(key.run.task)?.takeIf { it.run == key.run.run && it.location != null } ?: return@synchronized emptyList()
        recordEnd(job, task, end, avoid, now)
        hasWaitingTasks = hasWaitingTasks || job.hasWaitingTasks
        when {
            job.isDone -> finish(job, JobOutcome.Completed, now)
            task.failures >= job.queue.maxAttempts -> finish(job, JobOutcome.Failed, now)
            task.notBefore >= job.deadlineAt -> finish(job, JobOutcome.GivenUp("a run was lost with another VM"), now)
            else -> emptyList()
        }
    }

    private fun recordEnd(job: DispatchedJob, task: DispatchedTask, end: RunEnd, avoid: String?, now: Long) {
        val wasRemote = task.location is RunLocation.Remote
        job.recordEnded(task, end)
        task.hasFailedLast = end == RunEnd.FAILED
        when (end) {
            RunEnd.DONE -> task.isDone = true

            RunEnd.FAILED -> {
                task.failures++
                task.avoid = avoid
            }

            RunEnd.LOST -> {
                task.avoid = avoid
                if (wasRemote && avoid == null) task.notBefore = now + rules.lostRemoteRunDelayMs
            }

            RunEnd.NOT_STARTED -> {
                task.avoid = avoid
                task.notBefore = now + NOT_STARTED_DELAY_MS
            }
        }
    }

    /**
     * The client of [attempt] has cancelled it or disconnected. The job ends if no other client waits for it; if one does, at another VM,
     * the runs are stopped and started again for that one. An attempt that is not known yet is refused when it arrives.
     */
    fun cancel(attempt: AttemptKey, now: Long): List<DispatchEvent> = synchronized(lock) {
        val outcome = CANCELLED
        val job = jobs[attempt.jobId]?.takeIf { attempt in it.attempts }
        when {
            job != null -> {
                val entryVm = job.entryVm
                val left = leave(job, setOf(attempt), outcome, now)
                if (job.job.id in jobs && job.entryVm != entryVm) left + stops(job) else left
            }

            else -> {
                if (attempt !in answers) answers.put(attempt, outcome, now + ANSWER_KEPT_MS, now)
                emptyList()
            }
        }
    }

    /**
     * Ends the attempts whose client was connected to the VM with the incarnation [vm]. The runs of a job that goes on for other clients
     * are stopped and started again, since the leases of those that depend on [vm] are no longer renewed.
     */
    fun cancelFrom(vm: String, now: Long): List<DispatchEvent> = synchronized(lock) {
        jobs.values.toList().flatMap { job ->
            val lost = job.attempts.filter { it.entryVm == vm }.toSet()
            if (lost.isEmpty()) return@flatMap emptyList()
            val left = leave(job, lost, JobOutcome.GivenUp("the client's VM was lost"), now)
            if (job.job.id in jobs) left + stops(job) else left
        }
    }

    /** A client has cancelled the job [jobId], whoever submitted it. Returns null if the job is not in progress here. */
    fun cancelJob(jobId: String, now: Long): List<DispatchEvent>? = synchronized(lock) {
        cancelledAt.put(jobId, now, now + ANSWER_KEPT_MS, now)
        jobs[jobId]?.let { finish(it, CANCELLED, now) }
    }

    private fun isCancelled(submission: Submission): Boolean = cancelledAt[submission.job.id]?.let { submission.arrivedAt <= it } ?: false

    /** Answers [attempts] of [job] with [outcome], and ends the job if there are no others. */
    private fun leave(job: DispatchedJob, attempts: Set<AttemptKey>, outcome: JobOutcome, now: Long): List<DispatchEvent> {
        if (attempts.containsAll(job.attempts)) return finish(job, outcome, now)
        job.attempts -= attempts
        return listOf(answer(job.job.id, attempts, outcome, now))
    }

    /** Ends all jobs for [reason]: after a process pause of this VM, during which the other VMs may have taken it for lost. */
    fun cancelAll(reason: String, now: Long): List<DispatchEvent> = synchronized(lock) {
        jobs.values.toList().flatMap {
            finish(it, if (it.hasStarted) JobOutcome.GivenUp(reason) else notRun(it, RefusalReason.CANCELLED, reason), now)
        }
    }

    private fun finish(job: DispatchedJob, outcome: JobOutcome, now: Long): List<DispatchEvent> {
        jobs.remove(job.job.id)
        val stops = stops(job)
        stops.forEach { stopping.add(it.key) }
        return stops + answer(job.job.id, job.attempts.toSet(), outcome, now)
    }

    private fun stops(job: DispatchedJob) = job.placed().map {
        DispatchEvent.StopRun(RunKey(origin, job.dispatch, TaskRun(it.ref, it.run)), checkNotNull(it.location))
    }

    private fun answer(jobId: String, attempts: Set<AttemptKey>, outcome: JobOutcome, now: Long): DispatchEvent {
        attempts.forEach { answers.put(it, outcome, now + ANSWER_KEPT_MS, now) }
        return DispatchEvent.Finished(jobId, outcome, attempts.toSet())
    }

    /** A log line on waiting and refused work, null if none is due at [now]. */
    fun waitingReport(now: Long): String? = synchronized(lock) {
        if (report.isDue(now)) report.line(waitingCounts(jobs.values, waitingRuns.inOrder()), now) else null
    }

    fun size(): Int = synchronized(lock) { jobs.size }

    /** True if the job is in progress here. */
    fun hasJob(jobId: String): Boolean = synchronized(lock) { jobId in jobs }

    /** Ids of the jobs in progress that [matches] selects, and of those whose runs are still being stopped at [now]. */
    fun openJobs(now: Long, matches: (String) -> Boolean): Set<String> = synchronized(lock) {
        // A VM without jobs makes no scheduling pass, which would do this.
        stopping.prune(now)
        (jobs.keys + stopping.jobIds()).filterTo(HashSet(), matches)
    }

    /** True if [attempt] was submitted here or cancelled, and has not been forgotten since. */
    fun has(attempt: AttemptKey): Boolean =
        synchronized(lock) { attempt in answers || jobs[attempt.jobId]?.attempts?.contains(attempt) == true }

    /** Incarnations of the VMs whose clients wait for the jobs in progress. */
    fun entryVms(): Set<String> = synchronized(lock) { jobs.values.flatMapTo(HashSet()) { job -> job.attempts.map { it.entryVm } } }

    /** Jobs without a started task, by queue. */
    fun waitingJobs(): Map<String, Int> =
        synchronized(lock) { jobs.values.filter { !it.hasStarted }.groupingBy { it.queue.name }.eachCount() }

    private companion object {
        val CANCELLED = JobOutcome.GivenUp("cancelled")

        /** A scheduling pass ends when the tasks that fit on no worker have cost this much: 16 jobs or 32 runs of other VMs. */
        const val MAX_UNPLACED_COST = 32

        /** A job's task is tried in the cells of all VMs, a run of another VM only in the own ones. */
        const val UNPLACED_JOB_COST = 2

        /** How long the answer to an attempt is kept, in ms: longer than an offer or its cancellation can be on its way. */
        const val ANSWER_KEPT_MS = 10_000L

        /** Delay before a task whose run was not started is placed again, in ms. */
        const val NOT_STARTED_DELAY_MS = 5L
    }
}
