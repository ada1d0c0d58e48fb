/*
 * Measures the processor time that the clients' server takes for an ordinary submission. Four clients send one request after the other, of
 * about 300 bytes, over connections that stay open; each job ends at once. Prints the processor time of the server's threads for each
 * request, in microseconds, without that of the clients, the compiler and the garbage collector.
 */
package dandelionpoint.platform

import dandelionpoint.fleet.CancellationSignal
import dandelionpoint.fleet.FleetJobService
import dandelionpoint.fleet.startEventLoopThread
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.transport.http.ListenAddress
import kotlinx.coroutines.CoroutineScope
import java.lang.management.ManagementFactory
import java.net.Socket
import kotlin.concurrent.thread

private const val CLIENTS = 4
private const val WARM_UP_REQUESTS = 10_000
private const val MEASURED_REQUESTS = 10_000
private const val CLIENT_THREAD = "client"
private const val ID = "0000000000000001"

private object InstantService : FleetJobService {
    private val route = QueueRoute("h", "/q/", JobQueue("q", "p"))
    override val isReady = true
    override val isStopping = false
    override val hasConfiguration = true

    override fun route(host: String, path: String): QueueRoute = route

    override suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long, signal: CancellationSignal): JobOutcome = JobOutcome.Completed

    override suspend fun cancel(jobId: String) = JobPresence.NONE

    override suspend fun find(jobId: String) = JobPresence.NONE

    override fun waitingJobs(queue: String) = 0
}

private fun serverCpuNs(): Long {
    val threads = ManagementFactory.getThreadMXBean()
    return threads.getThreadInfo(threads.allThreadIds).filterNotNull().filterNot { it.threadName.startsWith(CLIENT_THREAD) }
        .sumOf { threads.getThreadCpuTime(it.threadId).coerceAtLeast(0) }
}

private fun sendRequests(port: Int, count: Int) {
    val body = encodeJob(FleetJob(ID, "x".repeat(120), listOf(JobStep(8, Demand(16_000), estimateMs = 60, rack = "rack-1"))))
    val head = "POST /q/$ID HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n" +
        "Deadline-Remaining-Ms: 1500\r\nContent-Length: ${body.size}\r\n\r\n"
    val request = head.encodeToByteArray() + body
    Socket("127.0.0.1", port).use { socket ->
        socket.tcpNoDelay = true
        val buffer = ByteArray(4_096)
        repeat(count) {
            socket.getOutputStream().write(request)
            check(socket.getInputStream().read(buffer) > 0) { "the server has closed the connection" }
        }
    }
}

private fun sendFromAll(port: Int, count: Int) =
    List(CLIENTS) { index -> thread(name = "$CLIENT_THREAD-$index") { sendRequests(port, count / CLIENTS) } }.forEach { it.join() }

fun main() {
    val server = PlatformClients(InstantService, CoroutineScope(startEventLoopThread("fleet")), ListenAddress("127.0.0.1", 0), null)
    val port = server.start()
    sendFromAll(port, WARM_UP_REQUESTS)
    val before = serverCpuNs()
    sendFromAll(port, MEASURED_REQUESTS)
    println("processor time of the server for each request: ${(serverCpuNs() - before) / MEASURED_REQUESTS / 1_000.0} us")
    server.stop()
    Runtime.getRuntime().halt(0)
}
