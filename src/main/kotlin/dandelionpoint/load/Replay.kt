/* Open-loop replay: sends each submission at its planned time, whether or not earlier ones have been answered. */
package dandelionpoint.load

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.SubmissionId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/** Replays workloads against the entry VMs at [entries]. [seed] determines the VM that each submission is sent to. */
internal class Replay(
    private val client: EntryClient,
    private val entries: List<EntryAddress>,
    private val seed: Long = 1,
    private val clock: Clock = Clock.System,
) {
    /**
     * Opens connections and loads this tool's classes with calls that start no work, so that the first submissions of [workload] are
     * not sent late.
     */
    suspend fun warmUp(workload: Workload) = coroutineScope {
        val submitter = Submitter(client, entries) { 0.0 }
        val team = workload.submissions.firstOrNull()?.team.orEmpty()
        repeat(WARM_UP_ROUNDS) {
            workload.submissions.take(WARM_UP_BODIES).forEach {
                submitter.encodeBody(it, SubmissionId.create(0, it.idBits.first, it.idBits.second))
            }
            entries.flatMap { entry ->
                List(WARM_UP_CONNECTIONS) { async { client.get(entry, "/health/live", team, WARM_UP_TIMEOUT_MS) } }
            }.awaitAll()
        }
    }

    /** Sends all submissions of [workload] and returns their outcomes in order of arrival. */
    suspend fun run(workload: Workload): List<SubmissionOutcome> = coroutineScope {
        val startNanos = clock.nanos()
        val submitter = Submitter(client, entries) { (clock.nanos() - startNanos) / NANOS_PER_MS }
        val random = Random(seed)
        val answers =
            withContext(Dispatchers.IO) {
                workload.submissions.map { submission ->
                    parkUntil(startNanos + (submission.atMs * NANOS_PER_MS).toLong())
                    this@coroutineScope.send(submitter, submission, Random(random.nextLong()))
                }
            }
        answers.awaitAll()
    }

    private fun CoroutineScope.send(submitter: Submitter, submission: Submission, random: Random): Deferred<SubmissionOutcome> =
        async(Dispatchers.Default) {
            val id = SubmissionId.create(clock.wallMs(), submission.idBits.first, submission.idBits.second)
            val firstSubmission = async { submitter.submit(submission, id, random) }
            val resubmissions =
                submission.resubmitAfterMs.map { afterMs ->
                    val choices = Random(random.nextLong())
                    async {
                        delay(afterMs.toLong())
                        submitter.submit(submission, id, choices, isResubmission = true)
                    }
                }
            SubmissionOutcome(submission, id.text, (resubmissions + firstSubmission).awaitAll().flatten().sortedBy { it.answeredMs })
        }

    /** Blocks the thread until [nanos], since a coroutine's delay has a resolution of only 1 ms. */
    private fun parkUntil(nanos: Long) {
        while (true) {
            val remainingNanos = nanos - clock.nanos()
            if (remainingNanos <= 0) return
            LockSupport.parkNanos(remainingNanos)
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1e6
        const val WARM_UP_ROUNDS = 20
        const val WARM_UP_BODIES = 50
        const val WARM_UP_CONNECTIONS = 10
        const val WARM_UP_TIMEOUT_MS = 2_000L
    }
}
