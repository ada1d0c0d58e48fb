/*
 * Runs of ended jobs that may still be in progress. A client may submit its job again while runs of the earlier submission are still being
 * stopped. Invariant: a task is not started while an earlier run of it, of any submission to this VM, may be in progress.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.TaskRef

/** The runs that are being stopped, by task. Not thread-safe. Times are in ms on the VM's monotonic clock. */
internal class StoppingRuns {
    /** The time at which each run has certainly ended, [UNKNOWN_END] while that is not known. */
    private val runs = HashMap<TaskRef, MutableMap<RunKey, Long>>()

    /** The run [key] is being stopped. */
    fun add(key: RunKey) {
        runs.getOrPut(key.run.task) { HashMap() }[key] = UNKNOWN_END
    }

    /** The run [key] has ended, or will have at [endsAt] at the latest. Has no effect on runs that are not being stopped. */
    fun onEnd(key: RunKey, endsAt: Long) {
        runs[key.run.task]?.computeIfPresent(key) { _, _ -> endsAt }
    }

    /** True if a run of [task] may be in progress at [now]. */
    fun mayRun(task: TaskRef, now: Long): Boolean {
        val ofTask = runs[task] ?: return false
        ofTask.values.removeIf { it <= now }
        if (ofTask.isEmpty()) runs.remove(task)
        return ofTask.isNotEmpty()
    }

    /** Ids of the jobs whose runs are being stopped. */
    fun jobIds(): Set<String> = runs.keys.mapTo(HashSet()) { it.jobId }

    /** Removes the runs that have ended at [now]. */
    fun prune(now: Long) = runs.keys.toList().forEach { mayRun(it, now) }

    private companion object {
        const val UNKNOWN_END = Long.MAX_VALUE
    }
}
