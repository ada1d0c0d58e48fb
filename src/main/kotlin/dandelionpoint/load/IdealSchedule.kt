/*
 * Computes the ideal response times of a workload, the baseline that measured ones are divided by: those of a non-preemptive central
 * scheduler that knows every task's true run time and every worker's speed and has no network latency. It assigns each waiting task, in
 * order, to the slot on which the task would end first, including the wait for a busy slot. The task starts if that slot is free;
 * otherwise it keeps waiting and leaves slower free slots to later tasks.
 */
package dandelionpoint.load

import java.util.PriorityQueue
import java.util.TreeSet

/** A worker with [slots] tasks at a time; a task runs for its run time divided by [speed]. */
internal data class IdealWorker(val slots: Int, val speed: Double)

/** Order in which waiting submissions are scheduled. */
internal enum class IdealOrder {
    /** Least unstarted work first, which keeps the mean response time low. */
    SHORTEST,

    /** First come, first served. */
    ARRIVAL,
}

/** Start and end of one task in the ideal schedule, in ms. [submission] is the index of the task's submission. */
internal data class IdealRun(val submission: Int, val startMs: Double, val endMs: Double)

/** The ideal schedule: [responseMs] by index of the submission, and the [runs] of all tasks. */
internal class IdealResult(val responseMs: DoubleArray, val runs: List<IdealRun>)

/** Computes the ideal schedule of [submissions], which must be sorted by arrival. */
internal fun idealSchedule(
    submissions: List<Submission>,
    workers: List<IdealWorker>,
    order: IdealOrder = IdealOrder.SHORTEST,
): IdealResult = IdealScheduler(submissions, workers, order).run()

/** A submission with tasks that have not started. [workMs] is their total run time at speed 1. */
private class WaitingSubmission(val index: Int, tasksMs: List<Double>) {
    /** Run times, longest first: starting the longest tasks first ends the job earlier. */
    val tasksMs = tasksMs.sortedDescending().toMutableList()
    var workMs = tasksMs.sum()
        private set

    /** Removes the tasks at the indices [started], which must be in ascending order. */
    fun remove(started: List<Int>) = started.asReversed().forEach { workMs -= tasksMs.removeAt(it) }
}

/** The slots of one worker: when each one becomes free, both in fact and with the plan for tasks that wait for a busy slot. */
private class WorkerSlots(count: Int, val speed: Double) {
    private val freeAtMs = DoubleArray(count)
    private val plannedFreeAtMs = DoubleArray(count)
    private var earliestSlot = 0

    /** When the first slot becomes free according to the plan, in ms. */
    val nextFreeMs: Double get() = plannedFreeAtMs[earliestSlot]

    fun freeCount(nowMs: Double) = freeAtMs.count { it <= nowMs }

    fun resetPlan() {
        freeAtMs.copyInto(plannedFreeAtMs)
        earliestSlot = plannedFreeAtMs.indexOfEarliest()
    }

    /** Reserves the slot that is planned to be free first until [endMs]; with [isStarted], a task occupies it in fact. */
    fun reserve(endMs: Double, isStarted: Boolean) {
        plannedFreeAtMs[earliestSlot] = endMs
        if (isStarted) freeAtMs[earliestSlot] = endMs
        earliestSlot = plannedFreeAtMs.indexOfEarliest()
    }

    private fun DoubleArray.indexOfEarliest(): Int = indices.minBy { this[it] }
}

private class IdealScheduler(private val submissions: List<Submission>, workers: List<IdealWorker>, order: IdealOrder) {
    private val workers = workers.filter { it.slots > 0 }.sortedByDescending { it.speed }.map { WorkerSlots(it.slots, it.speed) }
    private val runEndsMs = PriorityQueue<Double>()
    private val runs = mutableListOf<IdealRun>()
    private val responseMs = DoubleArray(submissions.size)
    private val waiting = TreeSet(order.comparator())
    private var nowMs = 0.0

    fun run(): IdealResult {
        require(workers.isNotEmpty()) { "the ideal schedule needs a worker with at least one slot" }
        var arrived = 0
        while (arrived < submissions.size || waiting.isNotEmpty()) {
            val arrivalMs = submissions.getOrNull(arrived)?.atMs ?: Double.POSITIVE_INFINITY
            nowMs = minOf(arrivalMs, if (waiting.isEmpty()) Double.POSITIVE_INFINITY else runEndsMs.peek())
            while (runEndsMs.isNotEmpty() && runEndsMs.peek() <= nowMs) runEndsMs.poll()
            while (arrived < submissions.size && submissions[arrived].atMs <= nowMs) enqueue(arrived++)
            startTasks()
        }
        return IdealResult(responseMs, runs)
    }

    private fun enqueue(index: Int) {
        waiting.add(WaitingSubmission(index, submissions[index].tasks.map { it.trueMs }))
    }

    private fun startTasks() {
        var freeSlots = workers.sumOf { it.freeCount(nowMs) }
        if (freeSlots == 0) return
        workers.forEach { it.resetPlan() }
        val started = mutableListOf<Pair<WaitingSubmission, List<Int>>>()
        var consideredTasks = 0
        for (entry in waiting) {
            val indices =
                entry.tasksMs.indices.filter {
                    freeSlots > 0 && consideredTasks++ < LOOKAHEAD_TASKS &&
                        planTask(entry, it).also { isStarted -> if (isStarted) freeSlots-- }
                }
            if (indices.isNotEmpty()) started += entry to indices
            if (freeSlots == 0 || consideredTasks >= LOOKAHEAD_TASKS) break
        }
        started.forEach { (entry, indices) -> removeStarted(entry, indices) }
    }

    /** Plans a task for the slot on which it would end first. If that slot is free, starts the task and returns true. */
    private fun planTask(entry: WaitingSubmission, index: Int): Boolean {
        val taskMs = entry.tasksMs[index]
        val bestWorker = workers.minBy { maxOf(nowMs, it.nextFreeMs) + taskMs / it.speed }
        val isFree = bestWorker.nextFreeMs <= nowMs
        val endMs = maxOf(nowMs, bestWorker.nextFreeMs) + taskMs / bestWorker.speed
        bestWorker.reserve(endMs, isFree)
        if (isFree) {
            runEndsMs.add(endMs)
            runs += IdealRun(entry.index, nowMs, endMs)
            responseMs[entry.index] = maxOf(responseMs[entry.index], endMs - submissions[entry.index].atMs)
        }
        return isFree
    }

    /** Removes the entry from the sorted set before its remaining work changes, since the sort order depends on that, and adds it again. */
    private fun removeStarted(entry: WaitingSubmission, indices: List<Int>) {
        waiting.remove(entry)
        entry.remove(indices)
        if (entry.tasksMs.isNotEmpty()) waiting.add(entry)
    }

    private fun IdealOrder.comparator(): Comparator<WaitingSubmission> = when (this) {
        IdealOrder.SHORTEST -> compareBy<WaitingSubmission> { it.workMs }.thenBy { it.index }
        IdealOrder.ARRIVAL -> compareBy { it.index }
    }

    private companion object {
        /** Bounds the tasks planned at one instant. Of those further back, hardly any would end earlier by waiting for a busy slot. */
        const val LOOKAHEAD_TASKS = 2_048
    }
}
