package dandelionpoint.platform

import com.sun.net.httpserver.HttpServer
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.StartRefusal
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.transport.http.CallThreads
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

private const val TIMEOUT_MS = 5_000L
private const val FIRST_START_MS = 1_000L
private const val SECOND_START_MS = 2_000L
private val POLL = LeaseCall(token = 1, seenEnd = 0, leaseUntilMs = null, waitMs = 0)

/** A worker that can restart under its id and at its address. Its connections end with each incarnation. */
private class RestartableWorker : AutoCloseable {
    private val threads = Executors.newCachedThreadPool()
    private var server = serve(port = 0, startedAtMs = FIRST_START_MS)

    /** Calls that have been received, each with the start of the incarnation that has received it. */
    val calls = CopyOnWriteArrayList<Pair<String, Long>>()

    /** Status and body of the answers to calls for the run list, null for a list without runs. */
    @Volatile
    var listAnswer: Pair<Int, String>? = null

    val entry = WorkerEntry("w-1", "p", "127.0.0.1", server.address.port, "akl-a", isDraining = false, capacity = Demand(1_000))

    private fun serve(port: Int, startedAtMs: Long): HttpServer {
        val next = HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 0)
        next.executor = threads
        next.createContext("/v1/") { exchange ->
            val call = exchange.requestURI.path.removePrefix("/v1/")
            exchange.requestBody.readBytes()
            calls += call to startedAtMs
            val list = 200 to """{"clock_ms":5,"born":$startedAtMs,"running":[],"ended":[]}"""
            val (status, body) = if (call == "hold") listAnswer ?: list else 200 to """{"clock_ms":5}"""
            exchange.sendResponseHeaders(status, body.length.toLong())
            exchange.responseBody.use { it.write(body.encodeToByteArray()) }
        }
        next.start()
        return next
    }

    fun restart() {
        val port = server.address.port
        server.stop(0)
        server = serve(port, SECOND_START_MS)
    }

    fun starts(): List<Long> = calls.filter { (call, _) -> call == "run-start" }.map { it.second }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }
}

private fun order(index: Int, startedAtMs: Long) =
    StartOrder(TaskRun(TaskRef("5c0e7a21d94b36f8", 0, index), 1), "", leaseUntilMs = 1_000, token = 1, startedAtMs = startedAtMs)

/**
 * Guards against a start on a worker that has restarted under its id and address, perhaps as one of another kind, by what was known of the
 * incarnation before. Nothing has been read of the new one: an idle worker is not asked for its runs.
 */
internal class WorkerRestartTest :
    DescribeSpec({
        val threads = autoClose(CallThreads(4))

        suspend fun onWorker(test: suspend RestartableWorker.(PlatformWorkers) -> Unit) =
            RestartableWorker().use { it.test(PlatformWorkers(threads)) }

        describe("an order for an incarnation of a worker") {
            it("is not sent to the next one, which a new connection reaches") {
                onWorker { workers ->
                    workers.lease(entry, POLL, TIMEOUT_MS).shouldBeInstanceOf<LeaseOutcome.Answered>()
                    workers.start(entry, order(1, FIRST_START_MS), TIMEOUT_MS).shouldBeInstanceOf<StartOutcome.Started>()
                    restart()
                    workers.start(entry, order(2, FIRST_START_MS), TIMEOUT_MS) shouldBe
                        StartOutcome.Refused(StartRefusal.OTHER_INCARNATION)
                    starts() shouldContainExactly listOf(FIRST_START_MS)
                }
            }

            it("is not sent to the next one over a connection on which that has sent its run list") {
                onWorker { workers ->
                    restart()
                    workers.lease(entry, POLL, TIMEOUT_MS).shouldBeInstanceOf<LeaseOutcome.Answered>()
                    workers.start(entry, order(1, FIRST_START_MS), TIMEOUT_MS) shouldBe
                        StartOutcome.Refused(StartRefusal.OTHER_INCARNATION)
                    starts().shouldBeEmpty()
                    workers.start(entry, order(2, SECOND_START_MS), TIMEOUT_MS).shouldBeInstanceOf<StartOutcome.Started>()
                }
            }

            it("is sent over a new connection once that has shown the incarnation, which is asked for once") {
                onWorker { workers ->
                    repeat(3) { workers.start(entry, order(it, FIRST_START_MS), TIMEOUT_MS).shouldBeInstanceOf<StartOutcome.Started>() }
                    calls.map { it.first } shouldContainExactly listOf("hold", "run-start", "run-start", "run-start")
                }
            }

            it("is not sent if the worker does not show its incarnation") {
                onWorker { workers ->
                    listOf(200 to "odd", 503 to "").forEach { answer ->
                        listAnswer = answer
                        workers.start(entry, order(1, FIRST_START_MS), TIMEOUT_MS).shouldBeInstanceOf<StartOutcome.NotSent>()
                    }
                    starts().shouldBeEmpty()
                }
            }

            it("is refused like any other if the worker has seen a higher token") {
                onWorker { workers ->
                    listAnswer = 409 to """{"clock_ms":5,"reason":"fence"}"""
                    workers.start(entry, order(1, FIRST_START_MS), TIMEOUT_MS) shouldBe StartOutcome.Refused(StartRefusal.FENCED)
                    starts().shouldBeEmpty()
                }
            }
        }
    })
