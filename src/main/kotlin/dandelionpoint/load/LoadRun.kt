/* Runs one replay against a cluster and collects the cluster's counters before, during and after it. */
package dandelionpoint.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/** What to replay: [trace] at [load] (offered work over capacity), with times multiplied by [timeScale], for about [seconds]. */
internal data class LoadPlan(
    val trace: Trace,
    val load: Double = 0.8,
    val timeScale: Double = 1.0,
    val seconds: Double? = null,
    val seed: Long = 1,
    val idealOrder: IdealOrder = IdealOrder.SHORTEST,
)

/** Replays [plan] against [cluster]. [concurrentAction] runs during the replay and is cancelled at its end. */
internal class LoadRun(
    private val plan: LoadPlan,
    private val cluster: LoadCluster,
    private val concurrentAction: suspend CoroutineScope.() -> Unit = {},
) {
    suspend fun run(): ReplayResult = StandInClient().use { standIns -> run(standIns) }

    private suspend fun run(standIns: StandInClient): ReplayResult {
        val idealWorkers = standIns.workers(cluster.upstream).map { IdealWorker(it.profile.slots, it.profile.speed) }
        val capacity = idealWorkers.sumOf { it.slots * it.speed }
        val workload = plan.trace.scaled(ReplayScale(plan.load, capacity, plan.timeScale, plan.seconds, plan.seed))
        val ideal = idealSchedule(workload.submissions, idealWorkers, plan.idealOrder)
        val usageBefore = cluster.platform?.let { standIns.platformUsage(it) }
        val callCounter = WorkerCallCounter()
        val outcomes = replay(workload, standIns, callCounter)
        awaitNoNewStarts(standIns)
        sampleWorkerCalls(standIns, callCounter)
        return ReplayResult(
            settings = settings(workload, idealWorkers),
            workload = workload,
            outcomes = outcomes,
            idealMs = ideal.responseMs,
            audit = auditStarts(outcomes) { keys -> standIns.startsOf(cluster.upstream, keys) },
            workerCalls = callCounter.increases(),
            platformUsage = usageBefore?.let { standIns.platformUsage(checkNotNull(cluster.platform)) - it },
            quotas = cluster.quotas,
        )
    }

    private suspend fun replay(workload: Workload, standIns: StandInClient, callCounter: WorkerCallCounter): List<SubmissionOutcome> =
        coroutineScope {
            sampleWorkerCalls(standIns, callCounter)
            val sampler =
                launch(Dispatchers.IO) {
                    while (isActive) {
                        delay(SAMPLE_INTERVAL_MS)
                        sampleWorkerCalls(standIns, callCounter)
                    }
                }
            val concurrentJob = launch(Dispatchers.IO) { concurrentAction() }
            val outcomes = EntryClient(cluster.tokens()).use { client ->
                val replay = Replay(client, cluster.entryAddresses(), plan.seed)
                replay.warmUp(workload)
                replay.run(workload)
            }
            sampler.cancel()
            concurrentJob.cancel()
            outcomes
        }

    private suspend fun sampleWorkerCalls(standIns: StandInClient, callCounter: WorkerCallCounter) = withContext(Dispatchers.IO) {
        cluster.entryAddresses().forEach { entry ->
            standIns.metrics(entry)?.let { callCounter.record(entry.toString(), parseWorkerCalls(it)) }
        }
    }

    /**
     * Waits until no task has started for [START_CHECK_INTERVAL_MS], for at most [MAX_START_CHECKS] checks, so that the audit also sees a
     * start that follows a 'not run' answer.
     */
    private suspend fun awaitNoNewStarts(standIns: StandInClient) {
        var lastTotal = -1L
        repeat(MAX_START_CHECKS) {
            val total = withContext(Dispatchers.IO) { standIns.starts(cluster.upstream).total }
            if (total == lastTotal) return
            lastTotal = total
            delay(START_CHECK_INTERVAL_MS)
        }
    }

    private fun settings(workload: Workload, workers: List<IdealWorker>) = ReplaySettings(
        trace = plan.trace.header.name,
        cluster = cluster.name,
        load = plan.load,
        timeScale = plan.timeScale,
        spanSeconds = workload.spanMs / 1_000,
        seed = plan.seed,
        entries = cluster.entries.size,
        slots = workers.sumOf { it.slots },
        capacity = workload.capacity,
        idealOrder = plan.idealOrder,
    )

    private companion object {
        const val SAMPLE_INTERVAL_MS = 1_000L
        const val START_CHECK_INTERVAL_MS = 2_000L
        const val MAX_START_CHECKS = 15
    }
}
