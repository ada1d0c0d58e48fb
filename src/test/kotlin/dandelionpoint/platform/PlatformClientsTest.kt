package dandelionpoint.platform

import dandelionpoint.fleet.CancellationSignal
import dandelionpoint.fleet.FleetJobService
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.transport.http.ListenAddress
import io.kotest.assertions.nondeterministic.continually
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val LOOPBACK = "127.0.0.1"
private const val ID = "0000000000000001"

/** By then the end of a closed connection has arrived over loopback. */
private const val DISCONNECT_ARRIVES_MS = 100L

/** By then a server has read the headers of a request, in ms. */
private const val READ_MS = 200L

/** A service with one queue, below /q/ on host h. Each job ends with the value that [outcome] is completed with. */
private class ScriptedService(
    val outcome: CompletableDeferred<JobOutcome> = CompletableDeferred(),
    private val presence: JobPresence = JobPresence.NONE,
) : FleetJobService {
    var cancelled = 0
    val started = AtomicInteger()

    /** Numbers of the submissions whose own signals were cancelled, in the order in which they arrived. */
    val signalled = CopyOnWriteArrayList<Int>()

    /** Each request is read no further until this is complete. */
    var isReadable: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)

    @Volatile
    var lastWaitMs = -1L
    override val isReady = true
    override val isStopping = false
    override val hasConfiguration = true

    override fun route(host: String, path: String): QueueRoute? {
        isReadable.join()
        return if (host == "h" && path.startsWith("/q/")) QueueRoute("h", "/q/", JobQueue("q", "p")) else null
    }

    override suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long, signal: CancellationSignal): JobOutcome {
        val number = started.incrementAndGet()
        signal.onCancel {
            signalled += number
            cancelled++
            outcome.complete(JobOutcome.GivenUp("cancelled"))
        }
        lastWaitMs = waitMs
        return outcome.await()
    }

    override suspend fun cancel(jobId: String) = presence

    override suspend fun find(jobId: String) = presence

    override fun waitingJobs(queue: String) = 12
}

/** The body of a job with one task. */
private val JOB = encodeJob(FleetJob(ID, "", listOf(JobStep(1, Demand(1))))).decodeToString()

private class Client(port: Int) : AutoCloseable {
    private val socket = Socket(LOOPBACK, port).apply { soTimeout = 5_000 }

    fun post(body: String = JOB, deadlineMs: String = "1500") = send("POST", "/q/$ID", body, deadlineMs)

    fun send(method: String, path: String, body: String = "", deadlineMs: String = "1500") {
        val head = "$method $path HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\nDeadline-Remaining-Ms: $deadlineMs\r\n\r\n"
        socket.getOutputStream().apply { write((head + body).encodeToByteArray()) }.flush()
    }

    /** What the server sends until it closes the connection or pauses; empty if it closed at once. */
    fun read(): String = ByteArray(4_096).let { buffer ->
        socket.getInputStream().read(buffer).let {
            if (it <
                0
            ) {
                ""
            } else {
                String(buffer, 0, it)
            }
        }
    }

    override fun close() = socket.close()
}

private fun JobStep(count: Int, demand: Demand) = JobStep(count, demand, estimateMs = 60)

private suspend fun withServer(service: ScriptedService, test: suspend (PlatformClients, Int) -> Unit) {
    val server = PlatformClients(service, CoroutineScope(Dispatchers.Default), ListenAddress(LOOPBACK, 0), readiness = null)
    val port = server.start()
    try {
        test(server, port)
    } finally {
        server.stop()
    }
}

/**
 * Guards against requests that a planned stop cuts off, jobs that keep running after their client has disconnected, and error responses
 * from which a client cannot see what happened to its job.
 */
internal class PlatformClientsTest :
    DescribeSpec({
        describe("the end of a planned stop") {
            it("completes a request that was received before it and closes idle connections") {
                val service = ScriptedService()
                withServer(service) { server, port ->
                    Client(port).use { busy ->
                        Client(port).use { idle ->
                            busy.post()
                            eventually(3.seconds) { server.open() shouldBe 1 }
                            coroutineScope {
                                val finishing = async(Dispatchers.Default) { server.finish(waitMs = 3_000) }
                                idle.read() shouldBe ""
                                service.outcome.complete(JobOutcome.Completed)
                                busy.read() shouldStartWith "HTTP/1.1 200"
                                finishing.await()
                            }
                        }
                    }
                }
            }
        }

        describe("a request that is being handled when a planned stop ends") {
            it("is answered although it is not known to be a job yet") {
                val service = ScriptedService(CompletableDeferred(JobOutcome.NotRun("stopping", 1_000)))
                service.isReadable = CompletableFuture()
                withServer(service) { server, port ->
                    Client(port).use { client ->
                        client.post()
                        delay(READ_MS)
                        coroutineScope {
                            val finishing = async(Dispatchers.Default) { server.finish(waitMs = 3_000) }
                            delay(READ_MS)
                            service.isReadable.complete(Unit)
                            client.read() shouldStartWith "HTTP/1.1 503"
                            finishing.await()
                        }
                    }
                }
            }
        }

        describe("a client") {
            it("that disconnects has its job cancelled") {
                val service = ScriptedService()
                withServer(service) { server, port ->
                    val client = Client(port)
                    client.post()
                    eventually(3.seconds) { server.open() shouldBe 1 }
                    client.close()
                    eventually(3.seconds) {
                        server.poll()
                        service.cancelled shouldBe 1
                    }
                }
            }

            // Guards against a disconnection that ends the submission with which the same client has replaced the broken one.
            it("that disconnects has its own submission cancelled, not another one of the same job") {
                val service = ScriptedService()
                withServer(service) { server, port ->
                    val first = Client(port).apply { post() }
                    eventually(3.seconds) { service.started.get() shouldBe 1 }
                    Client(port).use { second ->
                        second.post()
                        eventually(3.seconds) { service.started.get() shouldBe 2 }
                        first.close()
                        eventually(3.seconds) {
                            server.poll()
                            service.signalled shouldBe listOf(1)
                        }
                    }
                }
            }

            // Another VM may already run the job of a client that has given up while its submission lay in the socket.
            it("that has disconnected before its submission is read does not have its job started") {
                val service = ScriptedService()
                service.isReadable = CompletableFuture()
                withServer(service) { server, port ->
                    Client(port).use { it.post() }
                    delay(DISCONNECT_ARRIVES_MS)
                    service.isReadable.complete(Unit)
                    continually(300.milliseconds) { service.started.get() shouldBe 0 }
                    server.open() shouldBe 0
                }
            }

            it("whose job is refused gets status 503 and the time after which to retry") {
                withServer(ScriptedService(CompletableDeferred(JobOutcome.NotRun("no free capacity in time", 1_000)))) { _, port ->
                    Client(port).use { client ->
                        client.post()
                        val answer = client.read()
                        answer shouldStartWith "HTTP/1.1 503"
                        answer shouldContain "Retry-After: 1"
                    }
                }
            }

            // Guards against a cancellation that is acknowledged, or a job that is reported as unknown, without the dispatching VM's word.
            it("that cancels a job or asks for it gets 200, 410 or 503 by what the dispatching VM has said") {
                val statuses = mapOf(JobPresence.FOUND to 200, JobPresence.NONE to 410, JobPresence.UNKNOWN to 503)
                statuses.forEach { (presence, status) ->
                    withServer(ScriptedService(presence = presence)) { _, port ->
                        Client(port).use { client ->
                            listOf("DELETE", "GET").forEach { method ->
                                client.send(method, "/q/$ID")
                                val answer = client.read()
                                answer shouldStartWith "HTTP/1.1 $status"
                                answer.contains("Retry-After: 1") shouldBe (status == 503)
                            }
                        }
                    }
                }
            }

            it("that names an id of another form gets status 410 without a search") {
                withServer(ScriptedService(presence = JobPresence.UNKNOWN)) { _, port ->
                    Client(port).use { client ->
                        client.send("DELETE", "/q/other")
                        client.read() shouldStartWith "HTTP/1.1 410"
                    }
                }
            }

            // Guards against a deadline that overflows to a time in the past, so that the job is refused.
            it("that waits for a time out of range gets the longest or no wait") {
                val service = ScriptedService(CompletableDeferred(JobOutcome.Completed))
                withServer(service) { _, port ->
                    val waits = mapOf("9223372036854775807" to 600_000L, "-9223372036854775808" to 0L, "99999999999999999999" to 10_000L)
                    waits.forEach { (header, expected) ->
                        Client(port).use { client ->
                            client.post(deadlineMs = header)
                            client.read() shouldStartWith "HTTP/1.1 200"
                            service.lastWaitMs shouldBe expected
                        }
                    }
                }
            }

            // Guards against a StackOverflowError that a body causes in the thread of the request.
            it("that sends a body which is nested too deeply gets status 400") {
                withServer(ScriptedService()) { _, port ->
                    Client(port).use { client ->
                        client.post("[".repeat(100_000))
                        client.read() shouldStartWith "HTTP/1.1 400"
                    }
                }
            }

            it("that sends a malformed body, an unknown path or an unknown job gets the matching status") {
                withServer(ScriptedService()) { _, port ->
                    Client(port).use { client ->
                        client.post("{")
                        client.read() shouldStartWith "HTTP/1.1 400"
                        client.send("GET", "/other/$ID")
                        client.read() shouldStartWith "HTTP/1.1 404"
                        client.send("GET", "/q/$ID")
                        client.read() shouldStartWith "HTTP/1.1 410"
                        client.send("GET", "/q/")
                        client.read() shouldContain "\"pending\":12"
                    }
                }
            }
        }
    })
