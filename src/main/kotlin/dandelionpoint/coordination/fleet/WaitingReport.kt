/* A log line, at intervals, on the work that waits for capacity and on what was refused since the last line. */
package dandelionpoint.coordination.fleet

/** Why a job or a waiting run was refused; [key] is its name in the log line. */
internal enum class RefusalReason(val key: String) {
    TOO_MANY_JOBS("too_many_jobs"),
    DEADLINE_PASSED("deadline_passed"),

    /** Refused on arrival, by the expected wait. */
    EXPECTED_WAIT("expected_wait"),

    /** Not started by its latest start. */
    NO_CAPACITY("no_capacity"),
    CANCELLED("cancelled"),

    /** A run of another VM was not started by its latest start. */
    PEER_RUN_EXPIRED("peer_run_expired"),
}

/** Numbers of waiting tasks of this VM and of waiting runs of other VMs, by priority. */
internal data class WaitingCounts(val ownTasks: Map<Int, Int>, val peerRuns: Map<Int, Int>)

/** Makes a line at most every [intervalMs]. Not thread-safe. Times are in ms on the VM's monotonic clock. */
internal class WaitingReport(private val intervalMs: Long = INTERVAL_MS) {
    private val refused = sortedMapOf<RefusalReason, Int>()
    private var lastAt = Long.MIN_VALUE / 2

    fun recordRefusal(reason: RefusalReason) {
        refused.merge(reason, 1, Int::plus)
    }

    /** True if a line may be made at [now]. */
    fun isDue(now: Long): Boolean = now - lastAt >= intervalMs

    /** The line for [now], null if nothing waits and nothing was refused since the last one. */
    fun line(counts: WaitingCounts, now: Long): String? {
        if (counts.ownTasks.isEmpty() && counts.peerRuns.isEmpty() && refused.isEmpty()) return null
        val reasons = refused.entries.joinToString(",") { "${it.key.key}:${it.value}" }
        refused.clear()
        lastAt = now
        return "event=waiting_work own_tasks=${counts.ownTasks.text()} peer_runs=${counts.peerRuns.text()} refused=${reasons.ifEmpty {
            "0"
        }}"
    }

    /** Numbers by priority, as in `0:12,2:3`. */
    private fun Map<Int, Int>.text() = if (isEmpty()) "0" else toSortedMap().entries.joinToString(",") { "${it.key}:${it.value}" }

    private companion object {
        const val INTERVAL_MS = 3_000L
    }
}

/** Counts the waiting tasks of [jobs], which this VM dispatches, and [runs], which other VMs have requested. */
internal fun waitingCounts(jobs: Collection<DispatchedJob>, runs: Collection<RunOrder>) = WaitingCounts(
    ownTasks = jobs.groupBy({ it.queue.priority }) { it.waitingTasks() }.mapValues { it.value.sum() }.filterValues { it > 0 },
    peerRuns = runs.groupingBy { it.priority }.eachCount(),
)
