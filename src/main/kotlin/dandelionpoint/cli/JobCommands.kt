package dandelionpoint.cli

import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.TaskSpec
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.encodeToJsonElement
import picocli.CommandLine.ArgGroup
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.TimeUnit

/** A command about one job. */
internal abstract class JobCommand : ClientCommand() {
    protected fun jobId(text: String): SubmissionId =
        SubmissionId.parse(text) ?: throw ParameterException(spec.commandLine(), "'$text' is not a UUID version 7")

    /**
     * Polls the job [id] until it is final or a call fails, and prints the last answer. If the job is not final after [timeoutMs], returns
     * [ExitCode.OUTCOME_UNKNOWN].
     */
    protected fun awaitJob(id: SubmissionId, timeoutMs: Long): Int {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (true) {
            val leftMs = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()).coerceAtLeast(0)
            val waitMs = leftMs.coerceAtMost(MAX_WAIT_MS).toString()
            val outcome = send(ApiCall("GET", listOf("v1", "jobs", id.text), mapOf("waitMs" to waitMs)))
            val state = (outcome as? ApiOutcome.Answered)?.let { parseJson(it.body)?.jobState() }
            if (state == null || state.isFinal) return printOutcome(outcome)
            if (leftMs == 0L) {
                printOutcome(outcome)
                return ExitCode.OUTCOME_UNKNOWN
            }
            Thread.sleep(POLL_PAUSE_MS)
        }
    }

    private companion object {
        const val MAX_WAIT_MS = 30_000L

        /** Pause between polls, so that a server that ignores `waitMs` is not polled in a tight loop. */
        const val POLL_PAUSE_MS = 50L
    }
}

/** Source of a submission's tasks: either payloads on the command line or a file. */
internal class TaskSource {
    @Option(names = ["--task"], paramLabel = "PAYLOAD", description = ["Payload of a task; may be repeated."])
    var payloads: List<String> = emptyList()

    @Option(names = ["--tasks-file"], paramLabel = "FILE", description = ["File with one payload a line."])
    var file: Path? = null
}

@Command(
    name = "submit",
    description = ["Submits a job. Its id is printed first, so that the job can be found or submitted again after a lost answer."],
    mixinStandardHelpOptions = true,
    footer = [
        "%nExamples:",
        "  submit --team lookups --task '{\"certificate\":17}' --deadline-ms 5000 --wait",
        "  submit --team certificates --tasks-file payloads.txt --declared-ms 200",
    ],
)
internal class SubmitCommand : JobCommand() {
    @Option(names = ["--team"], required = true, paramLabel = "NAME", description = ["Team of the job."])
    var team: String = ""

    @ArgGroup(multiplicity = "1")
    lateinit var source: TaskSource

    @Option(names = ["--id"], paramLabel = "UUID", description = ["Id of the submission, a UUID version 7 (default: a new one)."])
    var id: String? = null

    @Option(names = ["--deadline-ms"], defaultValue = "60000", paramLabel = "MS", description = ["Deadline (default: \${DEFAULT-VALUE})."])
    var deadlineMs: Int = 0

    @Option(names = ["--declared-ms"], defaultValue = "0", paramLabel = "MS", description = ["Estimated run time of a task; 0 = none."])
    var declaredMs: Int = 0

    @Option(names = ["--idempotent"], description = ["The tasks may safely run more than once."])
    var isIdempotent: Boolean = false

    @Option(names = ["--task-class"], defaultValue = "default", paramLabel = "NAME", description = ["Groups tasks of similar run time."])
    var taskClass: String = ""

    @Option(names = ["--memory-mb"], defaultValue = "0", paramLabel = "MB", description = ["Memory that one task needs at most."])
    var memoryMb: Int = 0

    @Option(names = ["--wait"], description = ["Wait until the job has ended, at most until its deadline and 5 s more."])
    var waits: Boolean = false

    override fun call(): Int {
        val id = id?.let { jobId(it) } ?: newId()
        val job = JobSubmission(id, team, tasks(), deadlineMs, isIdempotent, taskClass, memoryMb)
        printToStderr("id $id")
        val outcome = send(ApiCall("POST", listOf("v1", "jobs"), body = JSON.encodeToJsonElement(job).toString()))
        val isAccepted = outcome is ApiOutcome.Answered && outcome.isOk()
        return if (waits && isAccepted) awaitJob(id, deadlineMs + GRACE_MS) else printOutcome(outcome)
    }

    private fun tasks(): List<TaskSpec> {
        val payloads =
            try {
                source.file?.let { Files.readAllLines(it) } ?: source.payloads
            } catch (failure: IOException) {
                throw ParameterException(spec.commandLine(), "--tasks-file: ${source.file} cannot be read", failure)
            }
        if (payloads.size !in 1..JobSubmission.MAX_TASKS) {
            throw ParameterException(spec.commandLine(), "${payloads.size} tasks given; a job must have 1 to ${JobSubmission.MAX_TASKS}")
        }
        return payloads.map { TaskSpec(it, declaredMs) }
    }

    private fun newId(): SubmissionId = SecureRandom().let { SubmissionId.create(System.currentTimeMillis(), it.nextLong(), it.nextLong()) }

    private companion object {
        /** Time after the deadline until which `--wait` polls the job. */
        const val GRACE_MS = 5_000L
        val JSON = Json { encodeDefaults = true }
    }
}

@Command(
    name = "status",
    description = ["Shows the state of a job."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  status 01935f1e-7b6c-7c3a-9d2e-3f1a5b7c9d11"],
)
internal class StatusCommand : JobCommand() {
    @Parameters(paramLabel = "ID", description = ["Id of the job."])
    var id: String = ""

    override fun call(): Int = run(ApiCall("GET", listOf("v1", "jobs", jobId(id).text)))
}

@Command(
    name = "wait",
    description = ["Waits until a job has ended. Exit code 3 if it has not ended in time."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  wait 01935f1e-7b6c-7c3a-9d2e-3f1a5b7c9d11 --timeout-ms 20000"],
)
internal class WaitCommand : JobCommand() {
    @Parameters(paramLabel = "ID", description = ["Id of the job."])
    var id: String = ""

    @Option(
        names = ["--timeout-ms"],
        defaultValue = "60000",
        paramLabel = "MS",
        description = ["Longest wait (default: \${DEFAULT-VALUE})."],
    )
    var timeoutMs: Long = 0

    override fun call(): Int = awaitJob(jobId(id), timeoutMs)
}

@Command(
    name = "cancel",
    description = ["Cancels a job; tasks that run are left to end. Can be repeated."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  cancel 01935f1e-7b6c-7c3a-9d2e-3f1a5b7c9d11"],
)
internal class CancelCommand : JobCommand() {
    @Parameters(paramLabel = "ID", description = ["Id of the job."])
    var id: String = ""

    override fun call(): Int = run(ApiCall("DELETE", listOf("v1", "jobs", jobId(id).text)))
}
