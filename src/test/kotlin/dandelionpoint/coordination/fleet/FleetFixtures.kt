/* Test data for cells, workers and jobs. */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.RunningRow
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry

internal const val POOL = "booking"
internal const val ORIGIN = "vm-1"
internal val TASK_DEMAND = Demand(cpuMilli = 7_000, memoryMb = 64)

internal fun worker(id: String, isDraining: Boolean = false, startedAtMs: Long = 1) = WorkerEntry(
    id = id,
    pool = POOL,
    host = "127.0.0.1",
    port = 1,
    dataCentre = "akl-a",
    isDraining = isDraining,
    capacity = Demand(cpuMilli = 16_000, memoryMb = 4_096),
    startedAtMs = startedAtMs,
)

internal fun order(job: String = "a", index: Int = 0, run: Int = 1, origin: String = ORIGIN, estimateMs: Long = 60) = RunOrder(
    run = TaskRun(TaskRef(job, 0, index), run),
    origin = origin,
    pool = POOL,
    payload = "",
    demand = TASK_DEMAND,
    estimateMs = estimateMs,
)

internal fun job(id: String, tasks: Int = 1, estimateMs: Long = 60) =
    FleetJob(id, payload = "", steps = listOf(JobStep(tasks, TASK_DEMAND, estimateMs)))

internal fun queue(maxAttempts: Int = 2, priority: Int = 0) =
    JobQueue("lookups", POOL, priority, maxAttempts, stretch = 1.6, latencyTargetMs = 60)

internal fun report(
    clockMs: Long = 0,
    running: List<TaskRun> = emptyList(),
    ended: List<Pair<TaskRun, RunEnd>> = emptyList(),
    firstEnd: Long = 1,
    percent: Int = 50,
    startedAtMs: Long = 1,
) = LeaseReport(
    clockMs = clockMs,
    startedAtMs = startedAtMs,
    running = running.map { RunningRow(it, percent) },
    ended = ended.mapIndexed { index, (run, end) -> EndedRow(firstEnd + index, run, end) },
)
