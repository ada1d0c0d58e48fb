package dandelionpoint.coordination.admission

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.state.queue.QueuedJob
import kotlin.random.Random

/** A clock that the test sets. */
internal class ManualClock(var nowMs: Double = 0.0) : Clock {
    override fun wallMs(): Long = nowMs.toLong()

    override fun nanos(): Long = (nowMs * 1_000_000).toLong()
}

/** Creates jobs with random ids from [seed]. */
internal class JobMaker(seed: Int = 1) {
    private val random = Random(seed)

    fun job(team: String = "a", deadlineMs: Long = 60_000, tasks: Int = 1, taskMs: Double = 100.0) =
        QueuedJob(SubmissionId.create(0, random.nextLong(), random.nextLong()), team, deadlineMs, tasks, taskMs)
}

/** Team queues of one VM; [quotas] maps each team to its weight. */
internal fun queuesOf(clock: Clock, quotas: Map<String, Double> = mapOf("a" to 1.0), tasksPerTeam: Int = 20_000) =
    TeamQueues(QueueSettings(tasksPerTeam), clock).apply { updateTeams(quotas) }

/** Admits and offers [job]; returns whether it was accepted. */
internal fun TeamQueues.submit(job: QueuedJob, capacity: ClusterCapacity): Boolean = admit(JobDemand(job), capacity).isRight() && offer(job)
