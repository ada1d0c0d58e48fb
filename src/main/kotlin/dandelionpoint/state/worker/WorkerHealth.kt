/* Speed, slow start and ejection of one worker, as one VM observes them. */
package dandelionpoint.state.worker

/** Settings of ejection. Times are in ms. */
internal data class HealthSettings(
    /** Read at each use, since a preset can change them at any time. */
    val limits: () -> EjectionLimits = { EjectionLimits() },
    val ejectMaxMs: Long = 60_000,
    /** If no retryable task was available as a probe for this long after an ejection has ended, any task is used. */
    val probeFallbackMs: Long = 60_000,
) {
    val ejectAfterFailures: Int get() = limits().afterFailures
    val ejectMs: Long get() = limits().firstMs
}

/** Limits of ejection that a preset sets: the number of consecutive failures, and the length of the first ejection in ms. */
internal data class EjectionLimits(val afterFailures: Int = 3, val firstMs: Long = 5_000)

/** Health of a worker with [slots] slots. Guarded by the lock of the worker's shard. */
internal class WorkerHealth(private val settings: HealthSettings, private val slots: Int) {
    /** Estimated speed relative to the mean of all workers. */
    var speed = 1.0
        private set

    /** Slots that slow start allows. */
    var usableSlots = 1
        private set

    /** The last task failed. The worker then ranks behind all others until a task succeeds. */
    var lastFailed = false
        private set
    var ejectedUntilMs = 0L
        private set

    /** The worker was ejected and no task has succeeded since. It then gets one probe at a time. */
    var onProbation = false
        private set

    /** The current ejection comes from this VM's own observations, not from a peer. */
    var ejectedLocally = false
        private set
    private var hasFailed = false
    private var slowness = 1.0
    private var samples = 0
    private var consecutiveFailures = 0
    private var recentFailures = 0
    private var recentCount = 0
    private var ejections = 0

    fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs

    /** True if any task may probe the worker, since no retryable task was available for [HealthSettings.probeFallbackMs]. */
    fun probesWithAnyTask(nowMs: Long): Boolean = onProbation && nowMs >= ejectedUntilMs + settings.probeFallbackMs

    /** True if slow start is due to a failure seen by this VM, and so limits leased slots too. Otherwise only the allocator applies it. */
    val isSlowStartAfterFailure: Boolean get() = hasFailed && usableSlots < slots

    /** Records that a task of another VM succeeded. */
    fun recordPeerSuccess() {
        if (onProbation) return
        lastFailed = false
        usableSlots = minOf(slots, usableSlots * 2)
    }

    /** Records that a task of another VM failed. */
    fun recordPeerFailure() {
        lastFailed = true
        hasFailed = true
        usableSlots = 1
    }

    /** Records a success; [ratio] is the measured run time divided by the expected one. */
    fun recordSuccess(ratio: Double) {
        samples++
        // The mean of the first samples, then an EWMA, so that the first measurement replaces the assumed speed.
        slowness += (ratio.coerceIn(MIN_RATIO, MAX_RATIO) - slowness) * maxOf(1.0 / samples, SPEED_WEIGHT)
        speed = 1 / slowness
        if (onProbation) clearEjection()
        recordRecent(failed = false)
        consecutiveFailures = 0
        lastFailed = false
        usableSlots = minOf(slots, usableSlots * 2)
        if (usableSlots == slots) {
            ejections = 0
            hasFailed = false
        }
    }

    /** Records a failure; returns true if it is a reason to eject the worker. */
    fun recordFailure(nowMs: Long, unreachable: Boolean): Boolean {
        recordRecent(failed = true)
        consecutiveFailures++
        recordPeerFailure()
        val mostRecentFailed = recentCount == RECENT_TASKS && Integer.bitCount(recentFailures) > RECENT_TASKS / 2
        val eject = unreachable || onProbation || consecutiveFailures >= settings.ejectAfterFailures || mostRecentFailed
        if (eject && !isEjected(nowMs)) ejectLocally(nowMs)
        return eject
    }

    /**
     * Ejects the worker because of what this VM observed of it or its rack. Each ejection is twice as long as the one before, up to
     * [HealthSettings.ejectMaxMs].
     */
    fun ejectLocally(nowMs: Long) {
        val duration = (settings.ejectMs shl minOf(ejections, MAX_DOUBLINGS)).coerceAtMost(settings.ejectMaxMs)
        ejections++
        startEjection(nowMs + duration)
        ejectedLocally = true
    }

    /** Applies an ejection reported by a peer, with [remainingMs] left. */
    fun applyPeerEjection(nowMs: Long, remainingMs: Long) {
        val until = nowMs + remainingMs.coerceIn(0, settings.ejectMaxMs)
        if (until > ejectedUntilMs + PEER_REPORT_TOLERANCE_MS) {
            ejectedLocally = ejectedLocally && isEjected(nowMs)
            startEjection(until)
        }
    }

    /** Ends an ejection because the worker or another one of its rack has answered. Slow start continues. */
    fun clearEjection() {
        ejectedUntilMs = 0
        onProbation = false
        ejectedLocally = false
    }

    private fun startEjection(untilMs: Long) {
        ejectedUntilMs = untilMs
        onProbation = true
        hasFailed = true
        usableSlots = 1
        consecutiveFailures = 0
        recentCount = 0
        recentFailures = 0
    }

    private fun recordRecent(failed: Boolean) {
        recentFailures = ((recentFailures shl 1) or (if (failed) 1 else 0)) and RECENT_MASK
        recentCount = minOf(RECENT_TASKS, recentCount + 1)
    }

    private companion object {
        const val RECENT_TASKS = 10
        const val RECENT_MASK = (1 shl RECENT_TASKS) - 1
        const val SPEED_WEIGHT = 0.05
        const val MIN_RATIO = 1.0 / 16
        const val MAX_RATIO = 16.0
        const val MAX_DOUBLINGS = 10

        /** Tolerance for a report of an ejection that is already known: its end differs by the delay of messages. */
        const val PEER_REPORT_TOLERANCE_MS = 500L
    }
}
