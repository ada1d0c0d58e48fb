/* One process of the command `fleet` with a small heap and lowered limits, and what has to hold of it. */
package dandelionpoint.endtoend

import dandelionpoint.platform.encodeJob
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobStep
import io.kotest.assertions.withClue
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

/** An entry VM whose store and worker are [stubs]. */
internal class LimitedVm(stubs: PlatformStubs) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("client-limits")
    private val ports = freePorts(3)
    val clients = ports[0]
    val readiness = ports[1]
    val peers = ports[2]
    private val process: ChildProcess

    init {
        val file = directory.resolve("vm.json")
        Files.writeString(file, settings(stubs.port))
        process = ChildProcess.start(directory, "vm", listOf("fleet", file.toString()), JVM_OPTIONS)
    }

    private fun settings(storePort: Int) =
        """
        {"name":"vm-1","region":"r","dataCentre":"akl-a","clients":"$LOOPBACK:$clients","readiness":"$LOOPBACK:$readiness",
         "peers":"$LOOPBACK:$peers","seedPeers":"","store":"$LOOPBACK:$storePort",
         "memoryMb":$MEMORY_MB,"maxDescriptors":$MAX_DESCRIPTORS}
        """.trimIndent()

    /** Waits until the VM serves jobs. */
    suspend fun awaitServing() {
        withClue({ "the VM serves no job after its start; last answer: $lastAnswer\n${process.tail()}" }) { isAnswered() shouldBe true }
    }

    /** Submits a job whose run takes [RUN_MS] ms; its future has the status of the answer, 0 for none. */
    fun submitAcceptedJob(): CompletableFuture<Int> {
        val submitted = CompletableFuture<Unit>()
        val answer = CompletableFuture.supplyAsync { post(LONG_JOB, RUN_MS, submitted) }
        submitted.join()
        return answer
    }

    /** Checks the process, its memory and descriptors, and that an ordinary job and the readiness check are answered. */
    suspend fun shouldHold(accepted: CompletableFuture<Int>) {
        withClue({ "the process has ended\n${process.tail()}" }) { process.isAlive shouldBe true }
        withClue("open descriptors") { descriptors() shouldBeLessThanOrEqualTo MAX_DESCRIPTORS }
        withClue({ "an ordinary job is not answered with 200; last answer: $lastAnswer\n${process.tail()}" }) { isAnswered() shouldBe true }
        withClue("status of the job that was accepted before") { accepted.get() shouldBe OK }
        withClue("the readiness check") { isReady() shouldBe true }
        withClue("peak resident memory in MB") { peakMemoryMb() shouldBeLessThanOrEqualTo MEMORY_MB }
        withClue("the process is alive at the end") { process.isAlive shouldBe true }
    }

    /** Sends an ordinary job until it is answered with 200, as a client does that is refused. */
    private suspend fun isAnswered(): Boolean = repeated { post("%016x".format(nextId++)) == OK }

    private suspend fun isReady(): Boolean = repeated { status(readiness, "GET /v1/readiness HTTP/1.1\r\nHost: h\r\n\r\n") == OK }

    private suspend fun repeated(attempt: () -> Boolean): Boolean {
        repeat(ATTEMPTS) {
            if (!process.isAlive) return false
            if (attempt()) return true
            delay(RETRY_MS)
        }
        return false
    }

    private var nextId = 1

    /** The last answer, or why there was none. */
    @Volatile
    private var lastAnswer = ""

    private fun post(id: String, estimateMs: Long = SHORT_RUN_MS, submitted: CompletableFuture<Unit>? = null): Int {
        val job = FleetJob(id, "", listOf(JobStep(1, Demand(PlatformStubs.TASK_CPU), estimateMs)))
        val body = encodeJob(job).decodeToString()
        val headers = "Content-Length: ${body.length}\r\nDeadline-Remaining-Ms: 20000\r\n"
        return status(clients, CrowdRequests.head("POST", PlatformStubs.PREFIX + id, headers) + body, submitted)
    }

    /** Status of the answer to [request], 0 if there is none. */
    private fun status(port: Int, request: String, submitted: CompletableFuture<Unit>? = null): Int = try {
        Socket().use { socket ->
            socket.soTimeout = ANSWER_MS
            socket.connect(InetSocketAddress(LOOPBACK, port), ANSWER_MS)
            socket.getOutputStream().apply { write(request.encodeToByteArray()) }.flush()
            submitted?.complete(Unit)
            lastAnswer = socket.getInputStream().let { String(it.readNBytes(1) + it.readNBytes(it.available())) }
            lastAnswer.split(' ').getOrNull(1)?.toIntOrNull() ?: 0
        }
    } catch (e: IOException) {
        lastAnswer = e.toString()
        0
    } finally {
        submitted?.complete(Unit)
    }

    private fun descriptors(): Int = Path.of("/proc/${process.pid}/fd").listDirectoryEntries().size

    /** Highest resident memory of the process so far, in MB. */
    private fun peakMemoryMb(): Int = Path.of("/proc/${process.pid}/status").readLines()
        .first { it.startsWith("VmHWM:") }.filter { it.isDigit() }.toInt() / KB_PER_MB

    override fun close() {
        process.close()
        directory.toFile().deleteRecursively()
    }

    companion object {
        const val LONG_JOB = "00000000000000ff"

        /** Run time of the job that is accepted before a crowd comes, in ms. */
        const val RUN_MS = 2_000L

        /** Run time of an ordinary job, in ms. */
        const val SHORT_RUN_MS = 60L
        private const val LOOPBACK = PlatformStubs.HOST

        /** Bound of the process's resident memory, in MB, which its settings name. */
        private const val MEMORY_MB = 160

        /** Bound of the open descriptors, which the settings name. */
        private const val MAX_DESCRIPTORS = 400
        private const val OK = 200
        private const val KB_PER_MB = 1_024
        private const val ATTEMPTS = 3
        private const val RETRY_MS = 1_000L

        /** Wait for one answer, in ms; a process that has not answered after all attempts hangs. */
        private const val ANSWER_MS = 5_000

        /** The options of deploy/system.toml with a smaller heap. */
        private val JVM_OPTIONS = (
            "-Xms24m -Xmx40m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ExitOnOutOfMemoryError " +
                "-Dkotlinx.coroutines.io.parallelism=2"
            ).split(' ')

        private fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            return sockets.map { it.localPort }.also { sockets.forEach { it.close() } }
        }
    }
}
