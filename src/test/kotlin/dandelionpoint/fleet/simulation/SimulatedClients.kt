/*
 * Clients of a simulated fleet. A client submits its job to a VM and submits it again, under the same id, some time after a broken
 * connection, status 504 (`GivenUp`) or no answer by its deadline.
 */
package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.peer.JobPresence
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** When and where a client submits its job again. */
internal enum class Resubmission {
    /** After the usual delay, to a VM of any data centre. */
    LATER_ANYWHERE,

    /** Within 100 ms of a broken connection and otherwise after the usual delay, to a VM of the same data centre. */
    SOON_IN_DATA_CENTRE,
}

/**
 * What the jobs are like: the range of their tasks' run times, how long the clients wait for a job, and the time between two jobs, in ms. A
 * share of the jobs, [slowShare], takes several times the declared run time. The jobs' priorities are 0 to [lowestPriority].
 */
internal enum class Workload(
    val taskMs: LongRange,
    val slowShare: Double,
    val deadlineMs: Long,
    val maxGapMs: Long,
    val minGapMs: Long = 20,
    val lowestPriority: Int = 0,
) {
    SHORT(taskMs = 60L..<900L, slowShare = 0.1, deadlineMs = 1_500, maxGapMs = 160),

    /** About 1.5 times as much work as the workers of a small fleet can do, so that runs wait for capacity at the owners of cells. */
    OVERLOAD(taskMs = 60L..<400L, slowShare = 0.05, deadlineMs = 1_500, maxGapMs = 20, minGapMs = 4, lowestPriority = 2),

    /** Most runs last longer than a client takes to submit its job again, and than a lease. */
    LONG(taskMs = 1_500L..<5_000L, slowShare = 0.0, deadlineMs = 8_000, maxGapMs = 600),
}

/** All clients, which submit jobs to [vms] on [queue] and cancel the share [cancelShare] of them at any VM. */
internal class SimulatedClients(
    private val world: SimulationWorld,
    private val vms: List<SimulatedVm>,
    private val queue: JobQueue,
    private val resubmission: Resubmission,
    private val workload: Workload,
    private val cancelShare: Double = 0.0,
) {
    /** Jobs whose clients have begun to cancel them, and do not submit them again. */
    private val cancelling = HashSet<String>()

    /** Time at which the cancellation of each job was answered with 200 or 410, in ms. */
    val cancelledAt = HashMap<String, Long>()

    /** Called when the cancellation of a job was answered. */
    var onCancelled: (FleetJob) -> Unit = {}

    /** Cancellations by their last answer. */
    val cancellations = HashMap<JobPresence?, Int>()
    private val slowness = HashMap<String, Int>()
    private val jobs = HashMap<String, FleetJob>()
    private val priorities = HashMap<String, Int>()
    private var nextJob = 1

    var completed = 0
        private set
    var submissions = 0
        private set

    val submitted: Int get() = jobs.size

    /** Real work of [task]; some jobs take far longer than their estimate. */
    fun workOf(task: TaskRef): TaskWork {
        val step = jobs.getValue(task.jobId).steps[task.step]
        return TaskWork(step.demand, step.estimateMs * slowness.getValue(task.jobId))
    }

    /** Submits jobs until the time [until]. */
    fun submitUntil(until: Long) {
        world.scope.launch {
            while (world.now() < until) {
                val job = newJob()
                launch { submit(job) }
                if (cancelShare > 0 && world.chance(cancelShare)) launch { cancelLater(job) }
                delay(world.random.nextLong(workload.minGapMs, workload.maxGapMs))
            }
        }
    }

    private fun newJob(): FleetJob {
        val steps = List(if (world.chance(TWO_STEP_SHARE)) 2 else 1) { number ->
            val count = world.random.nextInt(1, MAX_TASKS + 1)
            val estimateMs = world.random.nextLong(workload.taskMs.first, workload.taskMs.last + 1)
            JobStep(count, Demand(TASK_CPU_MILLI), estimateMs, after = if (number == 0) emptyList() else listOf(number - 1))
        }
        val job = FleetJob("%016x".format(nextJob++), "", steps)
        jobs[job.id] = job
        if (workload.lowestPriority > 0) priorities[job.id] = world.random.nextInt(workload.lowestPriority + 1)
        slowness[job.id] = if (world.chance(workload.slowShare)) SLOW_FACTOR else 1
        return job
    }

    /** Cancels [job] some time after its last submission has arrived, again until there is a clear answer. */
    private suspend fun cancelLater(job: FleetJob) {
        delay(world.random.nextLong(MAX_CANCEL_DELAY_MS))
        cancelling += job.id
        delay(SUBMISSION_ARRIVES_MS)
        var answer: JobPresence? = null
        repeat(MAX_CANCELLATIONS) {
            val vm = vms.filter { it.isUp }.randomOrNull(world.random) ?: return
            answer = vm.cancel(job.id)
            world.record(job.id, "cancellation at ${vm.name}: $answer")
            if (answer == JobPresence.FOUND || answer == JobPresence.NONE) {
                cancelledAt[job.id] = world.now()
                onCancelled(job)
                cancellations.merge(answer, 1, Int::plus)
                return
            }
            delay(CANCEL_RETRY_MS)
        }
        cancellations.merge(answer, 1, Int::plus)
    }

    /**
     * Submits [job], which takes [slowFactor] times its estimate, once to [vm]. Returns its outcome, or null if the connection broke or
     * there was none within the time that clients wait.
     */
    suspend fun submitOnce(job: FleetJob, vm: SimulatedVm, slowFactor: Int = 1): JobOutcome? {
        jobs[job.id] = job
        slowness[job.id] = slowFactor
        return (submitOnce(job, 1, listOf(vm)) as? ClientAnswer.Outcome)?.outcome
    }

    private suspend fun submit(job: FleetJob) {
        val choices = when (resubmission) {
            Resubmission.LATER_ANYWHERE -> vms
            Resubmission.SOON_IN_DATA_CENTRE -> vms.random(world.random).let { first -> vms.filter { it.dataCentre == first.dataCentre } }
        }
        repeat(MAX_SUBMISSIONS) { number ->
            if (job.id in cancelling) return
            val answer = submitOnce(job, number + 1, choices)
            val outcome = (answer as? ClientAnswer.Outcome)?.outcome
            if (outcome == JobOutcome.Completed) completed++
            if (outcome != null && outcome !is JobOutcome.GivenUp) return
            delay(resubmitDelayMs(answer))
        }
    }

    private fun resubmitDelayMs(answer: ClientAnswer?): Long =
        if (resubmission == Resubmission.SOON_IN_DATA_CENTRE && answer == ClientAnswer.ConnectionBroken) {
            world.random.nextLong(MIN_SOON_MS, MAX_SOON_MS)
        } else {
            RESUBMIT_DELAY_MS
        }

    /** Returns null if there was no answer by the deadline. The payload shows in a report to which submission a run belongs. */
    private suspend fun submitOnce(job: FleetJob, number: Int, choices: List<SimulatedVm>): ClientAnswer? {
        val vm = choices.filter { it.isUp }.randomOrNull(world.random) ?: return ClientAnswer.ConnectionBroken
        val connection = ClientConnection(job.copy(payload = "submission $number via ${vm.name}"))
        submissions++
        world.record(job.id, "submission $number to ${vm.name}")
        world.scope.launch {
            world.hop()
            vm.serve(connection, queue.copy(priority = priorities[job.id] ?: 0), workload.deadlineMs)
        }
        val answer = withTimeoutOrNull(workload.deadlineMs) { connection.answer.await() }
        if (answer == null) connection.close()
        world.record(job.id, "submission $number: ${answer ?: "no answer by the deadline"}")
        return answer
    }

    private companion object {
        const val MAX_CANCEL_DELAY_MS = 900L

        /** By then a submission that was sent before has arrived at its VM, in ms. */
        const val SUBMISSION_ARRIVES_MS = 70L
        const val MAX_CANCELLATIONS = 6
        const val CANCEL_RETRY_MS = 1_000L
        const val RESUBMIT_DELAY_MS = 1_300L
        const val MIN_SOON_MS = 24L
        const val MAX_SOON_MS = 100L
        const val MAX_SUBMISSIONS = 4
        const val TWO_STEP_SHARE = 0.2
        const val MAX_TASKS = 4
        const val TASK_CPU_MILLI = 1_000
        const val SLOW_FACTOR = 4
    }
}
