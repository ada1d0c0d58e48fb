package dandelionpoint.standin.upstream

import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerAddress
import dandelionpoint.protocol.worker.WorkerCall
import dandelionpoint.transport.worker.HttpWorkerClient
import dandelionpoint.transport.worker.WorkerClientSettings
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Files
import kotlin.time.measureTime

/**
 * Guards against tests that pass by mistake because the upstream stand-in misses starts, for example of tasks that fail or whose answer is
 * lost, so that duplicate starts are not counted. Also checks the network delay between data centres and that worker properties are
 * reproducible.
 */
class UpstreamStandInTest :
    DescribeSpec({
        val file = Files.createTempFile("starts", ".log")
        val settings = UpstreamStandInSettings(workers = 2, dataCentres = listOf("akl-a"), hopDelayMs = 20.0, startLogFile = file)
        val upstream = UpstreamStandIn(settings).start()
        val client = autoClose(HttpWorkerClient())

        suspend fun run(worker: Int, key: String, by: HttpWorkerClient = client): CallOutcome {
            val status = upstream.workers()[worker]
            return by.call(WorkerAddress(status.profile.id, status.host, status.port), WorkerCall("""{"key":"$key","ms":1}""", 5_000))
        }

        describe("the start log") {
            it("counts a task that is started twice on different workers as a duplicate") {
                run(worker = 0, key = "once")
                run(worker = 0, key = "twice")
                run(worker = 1, key = "twice")
                upstream.starts() shouldBe StartSummary(3, 2, 1, mapOf("worker-0000" to 2, "worker-0001" to 1))
                upstream.startsOf(listOf("once", "twice", "never")) shouldBe mapOf("once" to 1, "twice" to 2, "never" to 0)
            }
            it("counts the start of a task that fails or whose answer is lost") {
                upstream.setFaults("worker-0000", WorkerFaults(failing = true, lostAnswerShare = 1.0))
                run(worker = 0, key = "failed and lost").shouldBeInstanceOf<CallOutcome.Unknown>()
                upstream.startsOf(listOf("failed and lost")) shouldBe mapOf("failed and lost" to 1)
            }
        }

        describe("the network delay") {
            it("is added in both directions for callers from another data centre") {
                val remote = autoClose(HttpWorkerClient(WorkerClientSettings(dataCentre = "ham-a")))
                run(worker = 1, key = "warm up", by = remote)
                val delayed = measureTime { run(worker = 1, key = "remote", by = remote) }
                delayed.inWholeMicroseconds / 1e3 shouldBeGreaterThan 40.0
            }
        }

        describe("the workers") {
            it("are equal for equal seeds, with the given share of stragglers and racks that do not span data centres") {
                val many = UpstreamStandInSettings(workers = 32, stragglerShare = 0.25, seed = 7)
                many.profiles() shouldContainExactly many.profiles()
                val plain = many.copy(stragglerShare = 0.0).profiles()
                many.profiles().zip(plain).count { (slow, normal) -> slow.speed == normal.speed / 4 } shouldBe 8
                plain.groupBy { it.rack }.values.all { rack -> rack.size <= 6 && rack.map { it.dataCentre }.distinct().size == 1 } shouldBe
                    true
                plain.map { it.dataCentre }.distinct() shouldBe many.dataCentres
            }
        }

        afterSpec {
            upstream.close()
            Files.readAllLines(file).count { it.startsWith("twice ") } shouldBe 2
            Files.delete(file)
        }
    })
