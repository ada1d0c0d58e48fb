/* Progress of one job in a team's queue. */
package dandelionpoint.state.queue

/** Mutable progress of [job]. Guarded by the lock of its team's queue. */
internal class JobEntry(val job: QueuedJob) {
    private var nextIndex = 0
    private val returned = ArrayDeque<Int>(0)

    /** False while queue space is reserved and the job has not been offered yet. */
    var isOffered = false

    /** True once the job was cancelled or has expired; its queued tasks are skipped from then on. */
    var isDropped = false

    /** True once a task of the job was reported as started. */
    var hasStarted = false

    /** True while the job is in the priority queue, which may still hold it after its last task was handed out. */
    var isInOrder = false

    /** Number of tasks that were handed out and neither finished nor put back. */
    var handedOut = 0
        private set

    val queuedTasks: Int
        get() = if (isDropped) 0 else job.taskCount - nextIndex + returned.size

    val queuedSlotMs: Long
        get() = queuedTasks * job.taskSlotMs

    /** True if no task has started and none is handed out, so that the job can still be reported as not run. */
    val canReportNotRun: Boolean
        get() = !hasStarted && handedOut == 0

    /** Hands out the next task; those that were put back come first. The caller has checked that a task is queued. */
    fun nextTask(): QueuedTask {
        handedOut++
        val index = returned.removeFirstOrNull() ?: nextIndex++
        return QueuedTask(job, index)
    }

    /** Puts task [index] back into the queue, ahead of the job's other tasks. */
    fun putBack(index: Int) {
        handedOut--
        returned.addFirst(index)
    }

    /** Records that a task that was handed out has ended or will not be queued again. */
    fun release() {
        handedOut--
    }
}
