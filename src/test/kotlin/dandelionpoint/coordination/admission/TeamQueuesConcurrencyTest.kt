package dandelionpoint.coordination.admission

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.millis
import dandelionpoint.state.queue.QueuedJob
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val JOBS_PER_THREAD = 20_000
private const val THREADS = 8

/**
 * Guards against a deadlock of threads that use the queues of different teams. Checks that run under the lock of one queue read the other
 * queues; if they locked those, two threads could wait for each other.
 */
class TeamQueuesConcurrencyTest :
    DescribeSpec({
        describe("team queues used by several threads") {
            it("never deadlock, although the selection of a team reads all queues") {
                val queues = TeamQueues(QueueSettings(), Clock.System)
                val teams = listOf("a", "b", "c")
                queues.updateTeams(teams.associateWith { 1.0 })
                val pool = Executors.newFixedThreadPool(THREADS)
                repeat(THREADS) { thread ->
                    pool.execute {
                        val random = Random(thread)
                        repeat(JOBS_PER_THREAD) { cycle(queues, teams.random(random), random) }
                    }
                }
                pool.shutdown()
                val ended = pool.awaitTermination(1, TimeUnit.MINUTES)
                pool.shutdownNow()
                ended shouldBe true
            }
        }
    })

private fun cycle(queues: TeamQueues, team: String, random: Random) {
    val id = SubmissionId.create(System.currentTimeMillis(), random.nextLong(), random.nextLong())
    val job = QueuedJob(id, team, Clock.System.millis() + 60_000, taskCount = 2, expectedTaskMs = 10.0)
    if (queues.admit(JobDemand(job), ClusterCapacity(slots = 64)).isRight()) queues.offer(job)
    repeat(2) {
        val task = queues.next() ?: return@repeat
        queues.started(task)
        queues.finished(task, 10.0)
    }
    queues.expireLate()
}
