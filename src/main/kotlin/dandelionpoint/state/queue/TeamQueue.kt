/*
 * The queue of one team on one VM: jobs by earliest deadline, tasks of a job in order. All state is guarded by one lock; the counters
 * can also be read without it, to select between teams.
 */
package dandelionpoint.state.queue

import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.peer.TeamLoad
import java.util.PriorityQueue
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Queue of one team. At most [maxTasks] tasks, which is read at each reservation, can be reserved or queued. [index] maps each job to
 * its queue, for all teams of this VM; it is thread-safe, and has a job for as long as the job is in the queue.
 */
internal class TeamQueue(private val maxTasks: () -> Int, private val index: MutableMap<SubmissionId, TeamQueue>) {
    private val lock = ReentrantLock()
    private val entries = HashMap<SubmissionId, JobEntry>()
    private val order = PriorityQueue(compareBy<JobEntry> { it.job.deadlineMs })
    private val dueWork = DueWork()
    private val late = ArrayList<QueuedJob>()
    private val abandoned = ArrayList<QueuedJob>()
    private var front: JobEntry? = null
    private var emptyInOrder = 0
    private var committedTasks = 0
    private var queuedSlotMs = 0L

    /** Number of tasks that are handed out and have not ended. */
    @Volatile
    var running = 0
        private set

    /** Number of tasks that are queued and not yet handed out. */
    @Volatile
    var waiting = 0
        private set

    /** Entries in the priority queue, including dropped jobs; at most twice the number of queued jobs plus a constant. */
    val orderSize: Int
        get() = lock.withLock { order.size }

    /** The lowest number of slots of speed 1 that completes the queued work by its deadlines, as of the last reservation or [load]. */
    @Volatile
    var neededSlots = 0.0
        private set

    /**
     * Reserves space for [job] if it and all work due later can be completed with [slots] slots of speed 1. Work that needs more than
     * [limit] slots is considered lost. A job that is already in the queue needs no further space.
     */
    fun reserve(job: QueuedJob, nowMs: Long, slots: Double, limit: Double): Reservation = lock.withLock {
        when {
            entries.containsKey(job.id) -> Reservation.MADE

            committedTasks + job.taskCount > maxTasks() -> Reservation.FULL

            dueWork.neededSlotsWith(nowMs, job.dueMs, job.slotMs, limit) > slots -> Reservation.LATE

            else -> {
                entries[job.id] = JobEntry(job)
                index[job.id] = this
                count(job, job.taskCount)
                neededSlots = dueWork.neededSlots(nowMs, limit)
                Reservation.MADE
            }
        }
    }

    /** Queues a job that has a reservation; false if it has none because it was cancelled or has expired. */
    fun offer(id: SubmissionId): Boolean = lock.withLock {
        val entry = entries[id] ?: return false
        if (entry.isOffered || entry.isDropped) return false
        entry.isOffered = true
        waiting += entry.queuedTasks
        addToOrder(entry)
        true
    }

    /**
     * Hands out the next task, or null if none is queued. [canFinish] is called with each job that would be next and its queued work in
     * slot-ms. If it returns false, the job's queued tasks are dropped, and [removeLate] or [removeAbandoned] returns the job.
     */
    fun poll(canFinish: (QueuedJob, Long) -> Boolean): QueuedTask? = lock.withLock {
        var entry = head()
        while (entry != null && !canFinish(entry.job, entry.queuedSlotMs)) {
            expire(entry)
            entry = head()
        }
        entry?.let { handOut(it) }
    }

    /** Puts [task], which did not start or may run again, back at the front of the queue. */
    fun putBack(task: QueuedTask): Unit = lock.withLock {
        running--
        val entry = entries[task.job.id] ?: return
        if (entry.isDropped) {
            entry.release()
            forgetIfDone(entry)
            return
        }
        entry.putBack(task.index)
        count(entry.job, 1)
        waiting++
        addToOrder(entry)
        front = entry
    }

    /** Records that [task] started; its job can no longer be reported as not run. */
    fun started(task: QueuedTask) = lock.withLock { entries[task.job.id]?.hasStarted = true }

    /** Records that [task] has ended. */
    fun finished(task: QueuedTask): Unit = lock.withLock {
        running--
        val entry = entries[task.job.id] ?: return
        entry.hasStarted = true
        entry.release()
        forgetIfDone(entry)
    }

    /** Drops the queued tasks of a job and returns their number; 0 if the job is no longer queued here. */
    fun cancel(id: SubmissionId): Int = lock.withLock { entries[id]?.takeIf { !it.isDropped }?.let { drop(it) } ?: 0 }

    /** Removes and returns the jobs of which nothing started and for which [canFinish] is false. */
    fun removeLate(canFinish: (QueuedJob, Long) -> Boolean): List<QueuedJob> = lock.withLock {
        val unattainable = entries.values.filter { it.canReportNotRun && !it.isDropped && !canFinish(it.job, it.queuedSlotMs) }
        unattainable.forEach { expire(it) }
        late.toList().also { late.clear() }
    }

    /** Removes and returns the jobs with started tasks whose other tasks were dropped because they could not end in time. */
    fun removeAbandoned(): List<QueuedJob> = lock.withLock { abandoned.toList().also { abandoned.clear() } }

    /** Current load; reserved tasks count as queued. Work that needs more than [limit] slots of speed 1 is considered lost. */
    fun load(nowMs: Long, limit: Double): TeamLoad = lock.withLock {
        neededSlots = dueWork.neededSlots(nowMs, limit)
        TeamLoad(running, committedTasks, queuedSlotMs, neededSlots)
    }

    private fun head(): JobEntry? {
        front?.takeIf { it.queuedTasks > 0 }?.let { return it }
        front = null
        while (order.isNotEmpty() && order.peek().queuedTasks == 0) {
            order.poll().isInOrder = false
            emptyInOrder--
        }
        return order.peek()
    }

    private fun handOut(entry: JobEntry): QueuedTask {
        val task = entry.nextTask()
        running++
        waiting--
        count(entry.job, -1)
        if (entry.queuedTasks == 0) emptyInOrder++
        return task
    }

    private fun addToOrder(entry: JobEntry) {
        if (entry.isInOrder) {
            if (entry.queuedTasks == 1) emptyInOrder--
            return
        }
        entry.isInOrder = true
        order.add(entry)
    }

    private fun expire(entry: JobEntry) {
        if (entry.isOffered) (if (entry.canReportNotRun) late else abandoned).add(entry.job)
        drop(entry)
    }

    private fun drop(entry: JobEntry): Int {
        val tasks = entry.queuedTasks
        val waitingTasks = if (entry.isOffered) tasks else 0
        count(entry.job, -tasks)
        waiting -= waitingTasks
        entry.isDropped = true
        if (entry.isInOrder && tasks > 0) emptyInOrder++
        forgetIfDone(entry)
        compact()
        return waitingTasks
    }

    private fun count(job: QueuedJob, tasks: Int) {
        committedTasks += tasks
        queuedSlotMs += tasks * job.taskSlotMs
        if (tasks != 0) dueWork.add(job.dueMs, tasks * job.taskSlotMs)
    }

    private fun forgetIfDone(entry: JobEntry) {
        if (entry.queuedTasks > 0 || entry.handedOut > 0) return
        entries.remove(entry.job.id)
        index.remove(entry.job.id, this)
    }

    /** Removes empty entries from the priority queue once they outnumber the others, so that dropping a job has constant amortized cost. */
    private fun compact() {
        if (emptyInOrder <= COMPACTION_MINIMUM || emptyInOrder * 2 <= order.size) return
        order.forEach { if (it.queuedTasks == 0) it.isInOrder = false }
        order.removeIf { it.queuedTasks == 0 }
        emptyInOrder = 0
    }

    /** Result of [reserve]: space is reserved, the queue is full, or the job could not meet its deadline. */
    enum class Reservation { MADE, FULL, LATE }

    private companion object {
        const val COMPACTION_MINIMUM = 64
    }
}
