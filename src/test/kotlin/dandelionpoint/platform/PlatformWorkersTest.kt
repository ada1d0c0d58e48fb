package dandelionpoint.platform

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.transport.http.CallThreads
import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.PropTestConfig
import io.kotest.property.checkAll

private const val TIMEOUT_MS = 5_000L
private val CALL = LeaseCall(token = 1, seenEnd = 0, leaseUntilMs = null, waitMs = 0)
private val RUN = TaskRun(TaskRef("5c0e7a21d94b36f8", 1, 17), 2)
private val ORDER = StartOrder(RUN, "", leaseUntilMs = 1, token = 1, startedAtMs = 17)

/** A worker that answers every call with status 200 and [answer]. */
private class OddWorker : AutoCloseable {
    @Volatile
    var answer: ByteArray = ByteArray(0)

    private val server = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.http.compressionStrategy = CompressionStrategy.NONE
        config.routes.post("/v1/<call>") { it.contentType("application/json").result(answer) }
    }.start("127.0.0.1", 0)

    val entry = WorkerEntry("i-1", "p", "127.0.0.1", server.port(), "akl-a", isDraining = false, capacity = Demand(1_000))

    override fun close() {
        server.stop()
    }
}

private suspend fun PlatformWorkers.runList(worker: OddWorker, answer: String): LeaseReport? {
    worker.answer = answer.encodeToByteArray()
    return (lease(worker.entry, CALL, TIMEOUT_MS) as? LeaseOutcome.Answered)?.report
}

/** Guards against a worker whose entry or answers are odd and end the loops that lease workers, or are taken for another worker's state. */
internal class PlatformWorkersTest :
    DescribeSpec({
        val threads = autoClose(CallThreads(4))
        val workers = PlatformWorkers(threads)
        val worker = autoClose(OddWorker())

        describe("a call to a worker whose address or id the HTTP client refuses") {
            // Guards against an IllegalArgumentException that ends the worker's lease loop.
            it("is not sent, and its outcome says so") {
                listOf(worker.entry.copy(host = "a b"), worker.entry.copy(id = "i\n1"), worker.entry.copy(port = 70_000)).forEach { entry ->
                    withClue(entry.toString()) {
                        workers.lease(entry, CALL, TIMEOUT_MS).shouldBeInstanceOf<LeaseOutcome.NoAnswer>()
                        workers.stop(entry, RUN, token = 1, timeoutMs = TIMEOUT_MS) shouldBe false
                        workers.start(
                            entry,
                            ORDER,
                            TIMEOUT_MS,
                        ).shouldBeInstanceOf<StartOutcome.NotSent>()
                    }
                }
            }
        }

        describe("a run list") {
            it("is decoded") {
                val report = checkNotNull(workers.runList(worker, VALID_RUN_LIST))
                report.running.single().run shouldBe RUN
                report.ended shouldHaveSize 1
            }

            // Guards against a run number that is cut to 32 bits and then names another run.
            it("leaves out the rows with a run or end number out of range") {
                val odd = """{"clock_ms":1,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",4294967298,"",41]],
                    "ended":[[58,"5c0e7a21d94b36f8.0.1.17",4294967298,"done",""],[-1,"5c0e7a21d94b36f8.0.1.17",2,"done",""]]}"""
                val report = checkNotNull(workers.runList(worker, odd))
                report.running.shouldBeEmpty()
                report.ended.shouldBeEmpty()
            }

            // Guards against a clock or start time at the end of the number range, which later sums overflow.
            it("with a clock or start time out of range counts as no answer") {
                listOf("1e400", "-1", "99999999999999999999", "9223372036854775807", "\"1\"", "null", "{}").forEach { number ->
                    withClue(number) {
                        workers.runList(worker, """{"clock_ms":$number,"born":17}""") shouldBe null
                        workers.runList(worker, """{"clock_ms":1,"born":$number}""") shouldBe null
                    }
                }
            }

            it("that is nested too deeply counts as no answer") {
                workers.runList(worker, nestedArrays(200_000)) shouldBe null
                workers.runList(worker, """{"clock_ms":1,"running":${nestedArrays(200_000)}}""") shouldBe null
            }

            // Guards against an answer that fills the heap when it is parsed, which ends the process.
            it("that is larger than a run list can be counts as no answer") {
                workers.runList(worker, """{"clock_ms":1,"born":17,"x":[${"{},".repeat(400_000)}{}]}""") shouldBe null
            }

            it("that was changed at random causes no exception") {
                checkAll(PropTestConfig(seed = 29, iterations = 300), oddDocuments(VALID_RUN_LIST)) { bytes ->
                    worker.answer = bytes
                    workers.lease(worker.entry, CALL, TIMEOUT_MS)
                    workers.start(worker.entry, ORDER, TIMEOUT_MS)
                }
            }
        }
    })
