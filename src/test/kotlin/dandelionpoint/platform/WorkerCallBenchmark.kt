/*
 * Measures the processor time of calls to workers at the rate of one entry VM, start of the process included. `main` prints the time of
 * each group of threads, in ms, and how many calls there were. Run after mvn package:
 * java -cp target/test-classes:target/dandelionpoint.jar dandelionpoint.platform.WorkerCallBenchmarkKt
 * The stand-in workers are plain socket servers, which answer a start at once
 * and a lease call when a run of [RUN_MS] would have ended.
 */
package dandelionpoint.platform

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.transport.http.CallThreads
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.io.File
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val WORKERS = 8
private const val RUN_MS = 60L
private const val PAUSE_MS = 80L
private const val DEFAULT_SECONDS = 20L
private const val MS_PER_S = 1_000L
private const val NS_PER_MS = 1_000_000L
private const val TIMEOUT_MS = 2_000L
private const val STANDIN_THREAD = "standin"

private const val STARTED = """{"clock_ms":482113,"born":17}"""
private const val RUN_LIST =
    """{"clock_ms":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.0.17",2,"",41],["5c0e7a21d94b36f8.0.0.18",2,"",11]],""" +
        """"ended":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""]]}"""

/** A worker that answers each request of its connections. */
private class SocketWorker {
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val entry = WorkerEntry("i-${server.localPort}", "p", "127.0.0.1", server.localPort, "akl-a", isDraining = false, Demand(1_000))

    init {
        thread(isDaemon = true, name = STANDIN_THREAD) {
            while (true) server.accept().let { thread(isDaemon = true, name = STANDIN_THREAD) { serve(it) } }
        }
    }

    private fun serve(socket: Socket) {
        socket.tcpNoDelay = true
        val input = socket.getInputStream().buffered()
        while (true) {
            val head = readHead(input) ?: return
            val length = head.substringAfter("Content-Length: ").substringBefore("\r").toInt()
            input.readNBytes(length)
            val isLease = head.startsWith("POST /v1/hold")
            if (isLease) Thread.sleep(RUN_MS)
            val body = if (isLease) RUN_LIST else STARTED
            val answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n$body"
            socket.getOutputStream().write(answer.encodeToByteArray())
        }
    }

    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        return head.toString()
    }
}

/** Sends starts and lease calls for args[0] seconds, 20 if absent. */
internal fun main(args: Array<String>) {
    val endAt = System.nanoTime() + (args.firstOrNull()?.toLong() ?: DEFAULT_SECONDS) * MS_PER_S * NS_PER_MS
    val fleet = Executors.newSingleThreadScheduledExecutor { Thread(it, "fleet").apply { isDaemon = true } }.asCoroutineDispatcher()
    val workers = List(WORKERS) { SocketWorker() }
    val answered = AtomicInteger()
    runBlocking(fleet) {
        val port = PlatformWorkers(CallThreads(256))
        workers.forEach { worker ->
            launch {
                var run = 0
                while (System.nanoTime() < endAt) {
                    run++
                    val order = StartOrder(TaskRun(TaskRef("5c0e7a21d94b36f8", 0, run), 1), "x".repeat(100), 482_113, 7, startedAtMs = 1)
                    val start = async { port.start(worker.entry, order, TIMEOUT_MS) }
                    val lease = port.lease(worker.entry, LeaseCall(7, run.toLong(), 482_113, 250), TIMEOUT_MS)
                    if (lease is LeaseOutcome.Answered && lease.report.ended.size == 1) answered.incrementAndGet()
                    if (start.await() is StartOutcome.Started) answered.incrementAndGet()
                    delay(PAUSE_MS)
                }
            }
        }
    }
    println("answered calls $answered")
    processorMs().entries.sortedByDescending { it.value }.take(8).forEach { (name, ms) -> println("%-16s %6d ms".format(name, ms)) }
    println("all but $STANDIN_THREAD   %6d ms".format(processorMs().filterKeys { it != STANDIN_THREAD }.values.sum()))
}

/** Processor time of the threads of this process by their name, in ms. Threads that end meanwhile are left out. */
private fun processorMs(): Map<String, Long> = File("/proc/self/task").listFiles().orEmpty().mapNotNull { task ->
    try {
        val name = File(task, "comm").readText().trim().trimEnd { it.isDigit() }
        name to File(task, "schedstat").readText().substringBefore(' ').toLong() / NS_PER_MS
    } catch (_: IOException) {
        null
    }
}.groupBy({ it.first }, { it.second }).mapValues { it.value.sum() }
