package dandelionpoint.cli

import dandelionpoint.protocol.Certainty
import dandelionpoint.protocol.JobState
import dandelionpoint.protocol.ResultCode
import kotlinx.serialization.json.JsonElement
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** A command that calls a server, prints the answer and maps it to an exit code. */
internal abstract class ClientCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    var options = ClientOptions()

    protected fun send(call: ApiCall): ApiOutcome = ApiClient(options.serverAddress(spec), options.token(spec)).send(call)

    /** Sends [call], prints its answer and returns the exit code. */
    protected fun run(call: ApiCall): Int = printOutcome(send(call))

    /** Prints [outcome], errors to stderr, and returns the exit code. */
    protected fun printOutcome(outcome: ApiOutcome): Int = when (outcome) {
        is ApiOutcome.Answered -> {
            printAnswer(outcome)
        }

        is ApiOutcome.NotExecuted -> {
            printToStderr("cannot reach ${options.server}: ${outcome.reason}")
            ExitCode.CANNOT_CONNECT
        }

        is ApiOutcome.Unknown -> {
            printToStderr("the answer of ${options.server} was lost, so the outcome is unknown: ${outcome.reason}")
            ExitCode.OUTCOME_UNKNOWN
        }
    }

    protected fun print(text: String) = spec.commandLine().out.println(text)

    protected fun printToStderr(text: String) = spec.commandLine().err.println(text)

    /** Prints [value] in the output format that was requested. */
    protected fun print(value: JsonElement) = print(if (options.output.isJson) value.toString() else value.toTables())

    /**
     * Asks the server for its newest configuration version, for a change that states no expected version. If that fails, prints the error,
     * passes the exit code to [onFailure] and returns null.
     */
    protected fun fetchCurrentVersion(onFailure: (Int) -> Unit): Long? {
        val outcome = send(ApiCall("GET", listOf("v1", "config"), mapOf("fresh" to "true")))
        val version = (outcome as? ApiOutcome.Answered)?.takeIf {
            it.isOk()
        }?.let { parseJson(it.body).member("version").text()?.toLongOrNull() }
        if (version == null) onFailure(printOutcome(outcome))
        return version
    }

    private fun printAnswer(answer: ApiOutcome.Answered): Int {
        val body = parseJson(answer.body)
        if (body == null) {
            printToStderr("the server answered status ${answer.status} without JSON")
            return if (answer.isOk()) ExitCode.OK else ExitCode.REFUSED
        }
        val isJob = body.member("state") != null
        if (isJob || answer.isOk() || options.output.isJson) print(body) else printRefusal(body)
        return exitCode(answer, body)
    }

    private fun printRefusal(body: JsonElement) {
        val code = body.code()
        printToStderr("${code ?: "refused"}${code?.let { " (${it.number})" }.orEmpty()}: ${body.member("detail").text() ?: body}")
        if (code != null && code.advice != body.member("detail").text()) printToStderr(code.advice)
    }

    protected companion object {
        fun ApiOutcome.Answered.isOk(): Boolean = status in 200..299

        fun JsonElement.code(): ResultCode? = ResultCode.entries.find { it.name == member("code").text() }

        fun JsonElement.jobState(): JobState? = JobState.entries.find { it.name == member("state").text() }

        /** Exit code for an answer. A failed or cancelled job counts as a refusal, unless it may have run: then the outcome is unknown. */
        fun exitCode(answer: ApiOutcome.Answered, body: JsonElement): Int {
            val hasFailed = !answer.isOk() || body.jobState() in setOf(JobState.FAILED, JobState.CANCELLED)
            return when {
                !hasFailed -> ExitCode.OK
                body.code()?.certainty == Certainty.OUTCOME_UNKNOWN -> ExitCode.OUTCOME_UNKNOWN
                else -> ExitCode.REFUSED
            }
        }
    }
}
