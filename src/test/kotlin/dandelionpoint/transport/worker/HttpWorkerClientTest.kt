package dandelionpoint.transport.worker

import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerAddress
import dandelionpoint.protocol.worker.WorkerCall
import dandelionpoint.standin.upstream.UpstreamStandIn
import dandelionpoint.standin.upstream.UpstreamStandInSettings
import dandelionpoint.standin.upstream.WorkerFaults
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds

private const val WORKER = "worker-0000"

/**
 * Guards against a call that is reported as not started although the worker may have started the task, because a retry would start it
 * twice. This can happen when the worker is killed or frozen, when its response is lost or truncated, or when the HTTP library repeats or
 * redirects a request by itself.
 */
class HttpWorkerClientTest :
    DescribeSpec({
        val settings = UpstreamStandInSettings(workers = 1, slowestSpeed = 1.0, fastestSpeed = 1.0)
        val upstream = autoClose(UpstreamStandIn(settings).start())
        val client = autoClose(HttpWorkerClient())
        val address = upstream.workers().first().let { WorkerAddress(WORKER, it.host, it.port) }

        suspend fun call(
            key: String,
            ms: Int = 1,
            timeoutMs: Long = 5_000,
            fail: Boolean = false,
            by: HttpWorkerClient = client,
            to: WorkerAddress = address,
        ) = by.call(to, WorkerCall("""{"key":"$key","ms":$ms,"fail":$fail}""", timeoutMs))

        fun starts(key: String) = upstream.startsOf(listOf(key)).getValue(key)

        afterEach { upstream.setFaults(WORKER, WorkerFaults()) }

        describe("a call that certainly did not start its task") {
            it("is reported as not started when the connection is refused, even with idle connections from before the kill") {
                call("before kill").shouldBeInstanceOf<CallOutcome.Answered>()
                upstream.setFaults(WORKER, WorkerFaults(killed = true))
                call("killed").shouldBeInstanceOf<CallOutcome.NotStarted>().unreachable shouldBe true
                upstream.setFaults(WORKER, WorkerFaults())
                call("restored").shouldBeInstanceOf<CallOutcome.Answered>()
                starts("killed") shouldBe 0
            }
            it("is reported as not started for status 429, and the worker starts every other task exactly once") {
                val small = autoClose(UpstreamStandIn(settings.copy(connections = 10)).start())
                val full = small.workers().first().let { WorkerAddress(WORKER, it.host, it.port) }
                val keys = (1..10).map { "accepted-$it" }
                coroutineScope {
                    val accepted = keys.map { async { call(it, ms = 1_000, to = full) } }
                    eventually(5.seconds) { small.workers().first().let { it.busySlots to it.queued } shouldBe (8 to 2) }
                    call("refused", to = full) shouldBe CallOutcome.NotStarted("the worker is full", unreachable = false)
                    accepted.awaitAll().forEach { it.shouldBeInstanceOf<CallOutcome.Answered>() }
                }
                small.startsOf(keys + "refused") shouldBe keys.associateWith { 1 } + ("refused" to 0)
            }
            it("is reported as not started, and not sent, when it exceeds the connection limit of the worker") {
                val limited = HttpWorkerClient(WorkerClientSettings(connectionsPerWorker = 2))
                val outcomes = limited.use {
                    coroutineScope { (1..3).map { async { call("limited-$it", ms = 50, by = limited) } }.awaitAll() }
                }
                outcomes.count { it is CallOutcome.NotStarted } shouldBe 1
            }
            it("is reported as not started when it waits for a thread until its timeout, and is not sent afterwards") {
                val single = autoClose(HttpWorkerClient(WorkerClientSettings(maxCalls = 1)))
                coroutineScope {
                    val first = async { call("occupies", ms = 400, by = single) }
                    eventually(5.seconds) { starts("occupies") shouldBe 1 }
                    call("waits", timeoutMs = 100, by = single).shouldBeInstanceOf<CallOutcome.NotStarted>().unreachable shouldBe false
                    first.await().shouldBeInstanceOf<CallOutcome.Answered>()
                }
                call("after", by = single).shouldBeInstanceOf<CallOutcome.Answered>()
                starts("waits") shouldBe 0
            }
        }

        describe("a call whose request was written") {
            it("has an unknown outcome when the connection is closed after the run") {
                upstream.setFaults(WORKER, WorkerFaults(lostAnswerShare = 1.0))
                call("lost").shouldBeInstanceOf<CallOutcome.Unknown>()
                starts("lost") shouldBe 1
            }
            it("has an unknown outcome when the worker is frozen, since it may start the task later") {
                upstream.setFaults(WORKER, WorkerFaults(frozen = true))
                call("frozen", timeoutMs = 200).shouldBeInstanceOf<CallOutcome.Unknown>()
                starts("frozen") shouldBe 0
                upstream.setFaults(WORKER, WorkerFaults())
                eventually(5.seconds) { starts("frozen") shouldBe 1 }
            }
            it("has an unknown outcome when the worker is killed during the run") {
                coroutineScope {
                    val running = async { call("killed while running", ms = 10_000) }
                    eventually(5.seconds) { starts("killed while running") shouldBe 1 }
                    upstream.setFaults(WORKER, WorkerFaults(killed = true))
                    running.await().shouldBeInstanceOf<CallOutcome.Unknown>()
                }
            }
            it("is reported as failed when the worker responds with an error") {
                call("fails", fail = true).shouldBeInstanceOf<CallOutcome.Failed>().status shouldBe 500
                upstream.setFaults(WORKER, WorkerFaults(failing = true))
                call("fails too").shouldBeInstanceOf<CallOutcome.Failed>().status shouldBe 500
            }
            it("returns the complete response body") {
                call("whole").shouldBeInstanceOf<CallOutcome.Answered>().body shouldContain """"key":"whole""""
            }
        }

        describe("a response as raw bytes") {
            suspend fun answeredWith(response: String): Pair<CallOutcome, Int> = RawServer(response).use { server ->
                val outcome = client.call(WorkerAddress("raw", "127.0.0.1", server.port), WorkerCall("{}", 2_000))
                outcome to server.requests
            }

            it("means an unknown outcome when its body is shorter than declared, or has no declared length") {
                val truncated = answeredWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc").first
                truncated.shouldBeInstanceOf<CallOutcome.Unknown>()
                val truncatedChunks = answeredWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc").first
                truncatedChunks.shouldBeInstanceOf<CallOutcome.Unknown>()
                answeredWith("HTTP/1.1 200 OK\r\n\r\nabc").first.shouldBeInstanceOf<CallOutcome.Unknown>()
                answeredWith("HTTP/1.1 20").first.shouldBeInstanceOf<CallOutcome.Unknown>()
            }
            it("of status 503 with Retry-After 0 does not make the HTTP library repeat the request") {
                val (outcome, requests) = answeredWith("HTTP/1.1 503 Busy\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n")
                outcome shouldBe CallOutcome.Failed(503, "")
                requests shouldBe 1
            }
            it("that redirects is not followed, and one of status 408 does not cause a repetition") {
                val (outcome, requests) = answeredWith("HTTP/1.1 307 Moved\r\nLocation: /run\r\nContent-Length: 0\r\n\r\n")
                outcome shouldBe CallOutcome.Failed(307, "")
                requests shouldBe 1
                answeredWith("HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n") shouldBe (CallOutcome.Failed(408, "") to 1)
            }
        }
    })
