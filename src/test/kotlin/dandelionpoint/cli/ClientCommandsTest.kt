package dandelionpoint.cli

import dandelionpoint.coordination.configuration.Cluster
import dandelionpoint.coordination.configuration.team
import dandelionpoint.transport.http.AdminRoutes
import dandelionpoint.transport.http.TokenFile
import io.javalin.Javalin
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import picocli.CommandLine
import java.io.PrintWriter
import java.io.StringWriter
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val TOKEN = "operator-token-0001"
private const val JOB = "01935f1e-7b6c-7c3a-9d2e-3f1a5b7c9d11"

@CommandLine.Command(name = "dandelionpoint")
private class Root

/** Exit code and output of a command. */
private data class CommandResult(val exitCode: Int, val out: String, val err: String)

private fun run(vararg arguments: String): CommandResult {
    val out = StringWriter()
    val err = StringWriter()
    val line = CommandLine(Root())
    clientCommands.forEach { line.addSubcommand(it.create()) }
    line.setOut(PrintWriter(out, true)).setErr(PrintWriter(err, true))
    return CommandResult(line.execute(*arguments), out.toString(), err.toString())
}

/**
 * Guards against a client command that misreports an outcome. If a lost answer looked like a refusal, or a failed job that may have run
 * like one that did not, a script would repeat the work; if a name were not encoded, a command would call another route.
 */
class ClientCommandsTest :
    DescribeSpec({
        val cluster = Cluster(size = 2)
        val tokens = checkNotNull(TokenFile.parse("tokens", "$TOKEN operator:ana").getOrNull())
        val admin = AdminRoutes(cluster.vms[0], tokens, CoroutineScope(Dispatchers.Default))
        val jobResponses = ArrayDeque<String>()
        val server =
            Javalin
                .create { config ->
                    admin.addTo(config.routes)
                    config.routes.get("/v1/jobs/{id}") { it.result(jobResponses.removeFirst()) }
                    config.routes.post("/v1/jobs") { it.status(202).result(it.body()) }
                    config.routes.get("/v1/workers") {
                        it.result("""{ "workers": [ { "id": "w-1", "slots": { "free": 3 } }, { "id": "w-22" } ] }""")
                    }
                    config.routes.post("/v1/workers/{id}/drain") { it.result("""{ "id": "${it.pathParam("id")}" }""") }
                }.start("127.0.0.1", 0)
        val tokenFile = Files.createTempFile("token", ".txt").also { Files.writeString(it, "# operator\n$TOKEN operator:ana\n") }
        afterSpec {
            server.stop()
            Files.delete(tokenFile)
        }
        beforeSpec { cluster.started() }

        fun call(vararg arguments: String) =
            run(*arguments, "--server", "http://127.0.0.1:${server.port()}", "--token-file", tokenFile.toString())

        describe("operators' commands") {
            it("create, activate, show and compare presets") {
                call("preset", "create", "night", "--set", "retryBudget=0.01", "--set", "acceptNewJobs=false").exitCode shouldBe 0
                call("preset", "activate", "night", "--wait-ms", "100").out shouldContain "vm-0"
                call("preset", "show", "night").out.lines().map {
                    it.split(Regex(" +"))
                }.contains(listOf("preset.retryBudget", "0.01")) shouldBe
                    true
                call("preset", "create", "peak", "--file", "samples/crema-presets.json").exitCode shouldBe 0
                call("preset", "list", "--output", "json").out shouldContain """"queueTasksPerTeam":40000"""
                call("config", "show").out shouldContain "night"
                call("config", "history", "--limit", "1").out.lines().first { it.startsWith("4") } shouldContain "ana"
            }
            it("list only what differs between a file and the server") {
                val lines = call("config", "diff", "samples/crema-presets.json").out.trim().lines()
                lines.drop(1).map { it.substringBefore(' ') }.toSet() shouldBe
                    setOf("activePreset", "teams.lookups.weight", "teams.certificates.weight", "teams.billing.weight", "teams.trial.weight")
            }
            it("set quotas, list workers and drain one, and encode names so that they cannot address another route") {
                call("teams", "set", "lookups", "4").exitCode shouldBe 0
                call("teams", "list").out shouldContain "lookups  4"
                call("workers").out shouldContain "id    slots.free\nw-1   3\nw-22"
                call("drain", "--worker", "../x").out shouldContain "../x"
            }
        }

        describe("a change without an expected version") {
            it("is based on the newest version, even through a VM that has not read it yet") {
                cluster.vms[1].change(team("late", 1), expectedVersion = null, author = "ben").isRight() shouldBe true
                call("teams", "set", "late", "2").exitCode shouldBe 0
            }
        }

        describe("callers' commands") {
            it("submit with an id that is printed first, and wait for the end of the job") {
                jobResponses += listOf("""{"id":"$JOB","state":"RUNNING"}""", """{"id":"$JOB","state":"COMPLETE","results":["a"]}""")
                val submitted = call("submit", "--team", "lookups", "--task", "x", "--task", "y", "--id", JOB, "--wait")
                submitted.exitCode shouldBe 0
                submitted.err shouldContain "id $JOB"
                submitted.out shouldContain "COMPLETE"
            }
            it("distinguish a job that may have run from one that did not, so that a script does not repeat the former") {
                jobResponses += """{"id":"$JOB","state":"FAILED","code":"OWNER_LOST"}"""
                call("status", JOB).exitCode shouldBe 3
                jobResponses += """{"id":"$JOB","state":"FAILED","code":"DEADLINE_PASSED"}"""
                call("wait", JOB).exitCode shouldBe 1
                jobResponses += """{"id":"$JOB","state":"RUNNING"}"""
                call("wait", JOB, "--timeout-ms", "0").exitCode shouldBe 3
            }
        }

        describe("exit codes") {
            it("are 1 for a refusal, with its code and advice, and 2 for a usage error") {
                val refused = call("preset", "activate", "none")
                refused.exitCode shouldBe 1
                refused.err shouldContain "UNKNOWN_PRESET (501)"
                call("preset", "activate", "night", "--expected-version", "1").err shouldContain "VERSION_CONFLICT"
                run("preset", "list", "--token-file", "none.txt").exitCode shouldBe 2
                run("status", "not-an-id").exitCode shouldBe 2
                run("preset", "list", "--output", "xml").exitCode shouldBe 2
                run("submit", "--team", "t").exitCode shouldBe 2
            }
            it("are 4 without a server, and 3 for a change whose answer is lost, which is sent only once") {
                val closed = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
                run("teams", "list", "--server", "http://127.0.0.1:$closed").exitCode shouldBe 4
                val connections = AtomicInteger()
                ServerSocket(0, 5, InetAddress.getLoopbackAddress()).use { socket ->
                    thread(isDaemon = true) {
                        runCatching {
                            while (true) socket.accept().also { connections.incrementAndGet() }.use { it.getInputStream().read() }
                        }
                    }
                    run("drain", "--server", "http://127.0.0.1:${socket.localPort}").exitCode shouldBe 3
                }
                connections.get() shouldBe 1
            }
        }

        describe("config check") {
            it("works without a server and lists every fault") {
                run("config", "check", "samples/corallo-entry.json").exitCode shouldBe 0
                run("config", "check", "samples/crema-presets.json").exitCode shouldBe 0
                run("config", "check", "samples/crema-presets.json", "--output", "json").out.trim() shouldBe "[]"
                val faults = run("config", "check", "pom.xml")
                faults.exitCode shouldBe 1
                faults.err shouldContain "pom.xml: $: "
            }
        }

        describe("help and completion") {
            it("have an example for every command without subcommands") {
                fun leaves(line: CommandLine): List<CommandLine> =
                    if (line.subcommands.isEmpty()) listOf(line) else line.subcommands.values.flatMap { leaves(it) }
                clientCommands.dropLast(1).flatMap { leaves(CommandLine(it.create())) }.forEach {
                    it.usageMessage shouldContain "Example"
                }
                run("generate-completion").out shouldContain "preset activate"
            }
        }
    })
