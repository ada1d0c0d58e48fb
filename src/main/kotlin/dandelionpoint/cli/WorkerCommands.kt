package dandelionpoint.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Option

@Command(
    name = "workers",
    description = ["Lists the workers as one entry VM sees them."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  workers --server http://127.0.0.1:8080 --token-file operator.txt"],
)
internal class WorkersCommand : ClientCommand() {
    override fun call(): Int = run(ApiCall("GET", listOf("v1", "workers")))
}

@Command(
    name = "drain",
    description = ["Starts a planned stop of the entry VM at --server, or stops new work to one worker."],
    mixinStandardHelpOptions = true,
    footer = ["%nExamples:", "  drain --server http://127.0.0.1:8080", "  drain --worker w-17"],
)
internal class DrainCommand : ClientCommand() {
    @Option(names = ["--worker"], paramLabel = "ID", description = ["Stop new work to this worker instead."])
    var worker: String? = null

    override fun call(): Int {
        val path = worker?.let { listOf("v1", "workers", it, "drain") } ?: listOf("v1", "drain")
        return run(ApiCall("POST", path))
    }
}
