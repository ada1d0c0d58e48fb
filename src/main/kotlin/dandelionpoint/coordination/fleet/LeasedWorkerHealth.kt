/*
 * Health of one leased worker, judged by the outcomes of its runs. A worker is ejected after failed runs of two different jobs without a
 * success in between; after the ejection it gets one run at a time until one succeeds, and a failure before that ejects it again.
 * Failures of a single job do not eject a worker, since the job itself may be at fault. Nor does a single lost order: on links that lose
 * some orders, most of the workers would soon be out of use.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.max
import kotlin.math.min

/**
 * Health and speed of one worker, which has the labels that [labels] returns. Not thread-safe. Times are in ms on the VM's monotonic clock.
 */
internal class LeasedWorkerHealth(
    private val rules: FleetRules,
    private val labelSpeeds: LabelSpeeds = LabelSpeeds(),
    private val labels: () -> Set<String> = { emptySet() },
) {
    private val failingJobs = mutableSetOf<String>()
    private var lostOrders = 0
    private var ejections = 0
    private var ejectedUntil = 0L
    private var isOnProbation = false

    private var ownSpeed: Double? = null

    /**
     * Speed relative to the run times that the jobs estimate; 1.0 for a worker that takes exactly the estimated time. Without observed runs
     * it is that of its labels.
     */
    val speed: Double get() = ownSpeed ?: labelSpeeds.speedOf(labels()) ?: 1.0

    /** The most runs that the worker may have at once at [now]. */
    fun runLimit(now: Long): Int = when {
        now < ejectedUntil -> 0
        isOnProbation -> 1
        else -> Int.MAX_VALUE
    }

    /** Records that a run succeeded after [elapsedMs]; [estimateMs] is the time expected of an average worker. */
    fun succeeded(elapsedMs: Long, estimateMs: Long) {
        failingJobs.clear()
        lostOrders = 0
        isOnProbation = false
        ejections = max(0, ejections - 1)
        observeSpeed(elapsedMs, estimateMs)?.let { labelSpeeds.observe(labels(), it) }
    }

    /** Updates the speed from a run that takes [projectedMs] in total, where [estimateMs] was expected. Returns the speed of this run. */
    fun observeSpeed(projectedMs: Long, estimateMs: Long): Double? {
        if (estimateMs <= 0) return null
        val observed = (estimateMs.toDouble() / max(1L, projectedMs)).coerceIn(MIN_SPEED, MAX_SPEED)
        ownSpeed = speed + SPEED_WEIGHT * (observed - speed)
        return observed
    }

    /** The worker has restarted: another machine may run under its id, so that its labels say more than its earlier runs. */
    fun forgetSpeed() {
        ownSpeed = null
    }

    /** Records that a run of [jobId] failed. Returns true if the worker is ejected for it. */
    fun failed(jobId: String, now: Long): Boolean {
        failingJobs += jobId
        if (failingJobs.size < FAILING_JOBS && !isOnProbation) return false
        eject(now)
        return true
    }

    /**
     * Records that an order to start a run did not reach the worker, although it answers. If this recurs, the worker is ejected for
     * [forMs], which does not grow with earlier ejections: orders are lost on the way, or are only late, and say little about the worker.
     */
    fun orderLost(now: Long, forMs: Long) {
        if (++lostOrders < LOST_ORDERS) return
        lostOrders = 0
        ejectedUntil = max(ejectedUntil, now + forMs)
        isOnProbation = true
    }

    /**
     * Ejects the worker: it gets no runs for [forMs], doubled for each earlier ejection that no success has offset since, up to
     * [FleetRules.ejectMaxMs]. Also called when it refuses a run, is unresponsive, or has a stalled run.
     */
    fun eject(now: Long, forMs: Long = rules.ejectMs) {
        val length = min(rules.ejectMaxMs, forMs shl min(ejections, MAX_DOUBLINGS))
        ejectedUntil = max(ejectedUntil, now + length)
        ejections++
        isOnProbation = true
        failingJobs.clear()
        lostOrders = 0
    }

    private companion object {
        const val FAILING_JOBS = 2

        /** Number of lost orders without a success in between after which a worker is ejected. */
        const val LOST_ORDERS = 2
        const val MAX_DOUBLINGS = 6
        const val SPEED_WEIGHT = 0.1
        const val MIN_SPEED = 0.05
        const val MAX_SPEED = 4.0
    }
}
