package dandelionpoint.state.queue

import dandelionpoint.coordination.admission.JobMaker
import dandelionpoint.protocol.SubmissionId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Guards against memory that grows with cancelled jobs, whose entries stay in the priority queue until it is compacted, and against tasks
 * that are handed out twice or lost when several threads use one queue.
 */
class TeamQueueTest :
    DescribeSpec({
        val maker = JobMaker()
        val index = ConcurrentHashMap<SubmissionId, TeamQueue>()
        fun TeamQueue.add(job: QueuedJob) = reserve(job, 0, 1e9, 1e9).also { offer(job.id) }

        it("does not keep cancelled jobs, whose memory would grow with each wave of cancellations") {
            val queue = TeamQueue(maxTasks = { 20_000 }, index)
            queue.add(maker.job(deadlineMs = 1_000))
            repeat(10_000) { queue.cancel(maker.job().also { job -> queue.add(job) }.id) shouldBe 1 }
            queue.orderSize shouldBeLessThan 100
            index.size shouldBe 1
        }
        it("hands out each task once to several threads") {
            val queue = TeamQueue(maxTasks = { 20_000 }, index)
            val taken = ConcurrentHashMap.newKeySet<QueuedTask>()
            val handedOut = AtomicInteger()
            repeat(100) { queue.add(maker.job(tasks = 100)) }
            val threads = List(4) {
                thread {
                    generateSequence { queue.poll { _, _ -> true } }.forEachIndexed { count, task ->
                        if (count % 3 == 0) return@forEachIndexed queue.putBack(task)
                        taken.add(task)
                        handedOut.incrementAndGet()
                        queue.finished(task)
                    }
                }
            }
            threads.forEach { it.join() }
            generateSequence { queue.poll { _, _ -> true } }.forEach { if (taken.add(it)) handedOut.incrementAndGet() }
            handedOut.get() shouldBe 10_000
            taken.size shouldBe 10_000
        }
    })
