/*
 * Scenarios in which a job is submitted through several VMs, or the VM that runs it is killed or paused beyond its lease. They guard
 * against a task that starts twice, on the old and the new owner, and against accepted jobs that are lost or answered in part.
 */
package dandelionpoint.endtoend

import dandelionpoint.protocol.JobState
import dandelionpoint.testsupport.unlessKnownRed
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.describeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private const val WAIT_MS = 15_000

/** Runs [action] on all elements concurrently. */
internal suspend fun <T, R> Iterable<T>.mapConcurrently(action: suspend (T) -> R): List<R> =
    coroutineScope { map { async { action(it) } }.awaitAll() }

internal fun startOnceScenarios(cluster: TestCluster) = describeSpec {
    describe("a job that is submitted through every VM") {
        it("starts each task once and has one answer when it is submitted again after its end") {
            val job = SubmittedJob(tasks = 40, taskMs = 20)
            cluster.vms.forEach { job.submit(cluster, it, WAIT_MS) }
            job.replies.map { it.shouldBeInstanceOf<Reply.Job>().view.results }.distinct() shouldHaveSize 1
            job.replies.forEach { it.shouldBeInstanceOf<Reply.Job>().view.state shouldBe JobState.COMPLETE }
            cluster.shouldMatchUpstreamStarts(listOf(job))
        }
        it("starts each task once and has one answer when the submissions race") {
            val jobs = List(10) { SubmittedJob(tasks = 10, taskMs = 20) }
            jobs.flatMap { job ->
                (cluster.vms + cluster.vms).map { job to it }
            }.mapConcurrently { (job, vm) -> job.submit(cluster, vm, WAIT_MS) }
            jobs.forEach { job ->
                val views = job.replies.map { it.shouldBeInstanceOf<Reply.Job>().view }
                views.map { it.state }.distinct() shouldBe listOf(JobState.COMPLETE)
                views.map { it.results }.distinct() shouldHaveSize 1
            }
            cluster.shouldMatchUpstreamStarts(jobs)
        }
    }

    describe("an entry VM that is killed while it runs jobs") {
        it("loses no accepted job, repeats no task and leaves no partial answer").config(enabledOrReasonIf = unlessKnownRed) {
            val jobs = List(30) { SubmittedJob(tasks = 20, taskMs = 150) }
            val (killed, survivor) = cluster.vms
            jobs.forEachIndexed { index, job -> job.submit(cluster, cluster.vms[index % cluster.vms.size]) }
            val accepted = jobs.filter { it.isAccepted }
            accepted.size shouldBeGreaterThan 20
            cluster.gauge(killed, "dandelionpoint_jobs_active") shouldBeGreaterThan 0
            killed.process.kill()
            cluster.vms.remove(killed)
            accepted.mapConcurrently { job ->
                eventually(10.seconds) { withClue("${job.replies}") { job.status(cluster, survivor, WAIT_MS).isFinal.shouldBeTrue() } }
            }
            jobs.mapConcurrently { it.submit(cluster, cluster.vms.last(), WAIT_MS) }
            cluster.shouldMatchUpstreamStarts(jobs)
        }
    }
}

internal fun pauseScenarios(cluster: TestCluster) = describeSpec {
    describe("an entry VM that is paused past its lease") {
        it("starts no task that another VM may start, neither during the pause nor after it") {
            val jobs = List(30) { SubmittedJob(tasks = 40, taskMs = 200) }
            val paused = cluster.vms.first()
            val others = cluster.vms - paused
            jobs.forEachIndexed { index, job -> job.submit(cluster, cluster.vms[index % cluster.vms.size]) }
            cluster.gauge(paused, "dandelionpoint_jobs_active") shouldBeGreaterThan 0
            paused.process.pause()
            coroutineScope {
                val resubmissions = async { jobs.mapConcurrently { it.submit(cluster, others.first(), WAIT_MS) } }
                delay(9.seconds)
                jobs.mapConcurrently { it.submit(cluster, others.last()) }
                paused.process.resume()
                resubmissions.await()
            }
            jobs.mapConcurrently { it.submit(cluster, paused, WAIT_MS) }
            cluster.awaitServing()
            val lastReplies = jobs.mapConcurrently { it.status(cluster, others.first(), WAIT_MS) }
            lastReplies.filterNot { it.isFinal }.shouldBeEmpty()
            cluster.shouldMatchUpstreamStarts(jobs)
        }
    }
}
