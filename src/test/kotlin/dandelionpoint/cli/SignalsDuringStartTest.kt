package dandelionpoint.cli

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.deleteRecursively
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds

/** Loaded by the first statement of the program that takes time. */
private const val FIRST_SLOW_CLASS = "KotlinLoggingConfiguration"
private const val STARTED = "event=started"

/** Exit code of a JVM that ends because of SIGTERM. */
private const val TERMINATED = 143

private fun freePort() = ServerSocket(0).use { it.localPort }

/** An entry VM whose store cannot be reached; the JVM logs the classes that it loads to the same [output]. */
private class StartingVm(directory: Path) : AutoCloseable {
    private val output = directory.resolve("vm.log")
    private val settings = directory.resolve("settings.json").apply {
        writeText(
            """{"name": "vm", "region": "north", "dataCentre": "akl-a", "clients": "127.0.0.1:0", "peers": "127.0.0.1:0",
                "seedPeers": "", "store": "127.0.0.1:${freePort()}", "graceSeconds": 3}""",
        )
    }
    private val process: Process = ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx96m", "-XX:+UseSerialGC", "-Xlog:class+load:stdout",
        "-cp", System.getProperty("java.class.path"), "dandelionpoint.cli.MainKt", FleetCommand.NAME, settings.toString(),
    ).redirectErrorStream(true).redirectOutput(output.toFile()).start()

    fun log() = output.readText()

    suspend fun awaitOutput(text: String) = eventually(30.seconds) {
        withClue("alive: ${process.isAlive}, end of the log: ${log().takeLast(500)}") { log() shouldContain text }
    }

    fun signal(name: String) = ProcessBuilder("sh", "-c", "kill -$name ${process.pid()}").start().waitFor() shouldBe 0

    fun exitCode(): Int? = if (process.waitFor(15, TimeUnit.SECONDS)) process.exitValue() else null

    override fun close() {
        process.destroyForcibly().waitFor()
    }
}

@OptIn(kotlin.io.path.ExperimentalPathApi::class)
private suspend fun withStartingVm(test: suspend StartingVm.() -> Unit) {
    val directory = Files.createTempDirectory("signals")
    try {
        StartingVm(directory).use { it.test() }
    } finally {
        directory.deleteRecursively()
    }
}

/** Guards against an entry VM that ends by itself because its settings file changes while it starts (review case 5). */
internal class SignalsDuringStartTest :
    DescribeSpec({
        describe("a VM that starts") {
            it("goes on after SIGHUP, reads its settings again, and ends on SIGTERM with the exit code of that signal") {
                withStartingVm {
                    awaitOutput(FIRST_SLOW_CLASS)
                    signal("HUP")
                    awaitOutput(STARTED)
                    awaitOutput("event=settings_read")
                    signal("TERM")
                    exitCode() shouldBe TERMINATED
                }
            }

            it("ends on SIGTERM with the exit code of that signal") {
                withStartingVm {
                    awaitOutput(FIRST_SLOW_CLASS)
                    signal("TERM")
                    exitCode() shouldBe TERMINATED
                }
            }
        }
    })
