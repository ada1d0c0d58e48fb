/* A process of the program under test, started from the test class path. Its output goes to a file in the test's directory. */
package dandelionpoint.endtoend

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A child process; [close] kills it if it is still running. */
internal class ChildProcess private constructor(private val process: Process, private val output: Path) : AutoCloseable {
    val isAlive: Boolean get() = process.isAlive
    val pid: Long get() = process.pid()

    /** Waits for the JSON line that a command prints when it is ready. */
    suspend fun awaitReadyLine(): JsonObject = withTimeout(READY_TIMEOUT) {
        var line: JsonObject? = null
        while (line == null) {
            check(process.isAlive) { "the process exited before it was ready; its last output: ${tail()}" }
            line = output.readLines().firstOrNull { it.startsWith(ENTRY_READY) || it.startsWith(STAND_IN_READY) }?.let { parse(it) }
            if (line == null) delay(POLL_MS)
        }
        line
    }

    /** Sends SIGKILL and waits until the process has exited. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGTERM, which starts a planned stop; does not wait. */
    fun terminate() = process.destroy()

    /** Sends SIGSTOP, which suspends the process until [resume]. */
    fun pause() = signal("STOP")

    /** Sends SIGCONT to a process that is still running. */
    fun resume() {
        if (isAlive) signal("CONT")
    }

    /** Waits at most [timeout] for the process to exit; returns whether it did. */
    fun awaitExit(timeout: Duration): Boolean = process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    /** The last [TAIL_LINES] lines of the output. */
    fun tail(): String = output.readLines().takeLast(TAIL_LINES).joinToString("\n")

    override fun close() = kill()

    private fun signal(name: String) {
        val code = ProcessBuilder("sh", "-c", "kill -$name ${process.pid()}").start().waitFor()
        check(code == 0) { "signal SIG$name could not be sent to the process" }
    }

    private fun parse(line: String): JsonObject? = runCatching { Json.parseToJsonElement(line).jsonObject }.getOrNull()

    companion object {
        private const val ENTRY_READY = """{"event":"ready""""
        private const val STAND_IN_READY = """{"role":"""
        private const val POLL_MS = 50L
        private const val TAIL_LINES = 30
        private val READY_TIMEOUT = 60.seconds

        /** Small heaps and C1 compilation only, because the tests run several JVMs at once on machines that also run builds. */
        val JVM_OPTIONS = listOf("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        /** Starts the program with the command line [arguments] and [jvmOptions]; its output goes to `<name>.log` in [directory]. */
        fun start(directory: Path, name: String, arguments: List<String>, jvmOptions: List<String> = JVM_OPTIONS): ChildProcess {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command = listOf(java) + jvmOptions + listOf("-cp", System.getProperty("java.class.path"), MAIN_CLASS) + arguments
            val output = Files.createFile(directory.resolve("$name.log"))
            val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile()).start()
            return ChildProcess(process, output)
        }

        private const val MAIN_CLASS = "dandelionpoint.cli.MainKt"
    }
}
