/* Responses of the entry VMs to the load tool, and the parsing of their bodies. */
package dandelionpoint.load

import dandelionpoint.protocol.Certainty
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.ResultCode
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Outcome of one HTTP call. */
internal sealed interface Answer {
    /** State of a job, final or not. */
    data class View(val view: JobView) : Answer

    /** Result of a successful request. */
    data class Result(val text: String) : Answer

    /** A refusal or failure with its code. */
    data class Refused(val code: ResultCode, val detail: String) : Answer

    /**
     * No usable response: the call failed, or its body could not be parsed. With [isUnsent], no byte of the request was written, so the VM
     * cannot have received it.
     */
    data class CallFailed(val isUnsent: Boolean, val reason: String) : Answer

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        @Serializable
        private data class ResultBody(val result: String)

        @Serializable
        private data class RefusalBody(val code: ResultCode, val detail: String = "")

        /** Parses the [body] of a response with HTTP [status]. */
        fun parse(status: Int, body: String): Answer = try {
            val members = json.parseToJsonElement(body) as? JsonObject ?: JsonObject(emptyMap())
            when {
                "state" in members -> View(json.decodeFromJsonElement(JobView.serializer(), members))

                "result" in members -> Result(json.decodeFromJsonElement(ResultBody.serializer(), members).result)

                "code" in members ->
                    json.decodeFromJsonElement(RefusalBody.serializer(), members).let { Refused(it.code, it.detail) }

                else -> CallFailed(isUnsent = false, "status $status with an unknown body")
            }
        } catch (e: IllegalArgumentException) {
            CallFailed(isUnsent = false, "status $status with an unreadable body: ${e.message?.lineSequence()?.first()}")
        }
    }
}

/** The result code in the answer, or null if the answer has none or is not final. */
internal val Answer.code: ResultCode?
    get() =
        when (this) {
            is Answer.View -> view.code.takeIf { view.state.isFinal }
            is Answer.Result -> ResultCode.OK
            is Answer.Refused -> code
            is Answer.CallFailed -> null
        }

/**
 * True if the answer states that the work did not run. Only codes 100 to 199 count. Codes 4xx are left out: they reject the
 * submission that carries them, and an earlier submission with the same id may have run.
 */
internal val Answer.reportsNotRun: Boolean
    get() = code?.let { it.certainty == Certainty.NOT_RUN && it.number in NOT_RUN_NUMBERS } ?: false

private val NOT_RUN_NUMBERS = 100..199
