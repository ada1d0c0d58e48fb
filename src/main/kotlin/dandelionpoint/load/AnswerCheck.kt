/* Checks that an answer is complete and belongs to the submission it was sent for. */
package dandelionpoint.load

import dandelionpoint.protocol.JobState
import dandelionpoint.protocol.JobView
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Ways in which an answer can be wrong. */
internal enum class AnswerFault {
    /** Fewer or more results than tasks, results for a job that is not complete, or a complete job without results. */
    PARTIAL,

    /** A result, or the whole job, of another submission. */
    FOREIGN,

    /** A result of another task of the same job. */
    OUT_OF_ORDER,

    /** A result that cannot be parsed as a worker's answer. */
    UNREADABLE,
}

/** Task payload for the worker stand-in: it runs for [ms] milliseconds at speed 1 and logs its start under [key]. */
@Serializable
internal data class TaskPayload(val key: String, val ms: Double, val fail: Boolean = false)

@Serializable
private data class WorkerAnswer(val key: String)

private val workerJson = Json { ignoreUnknownKeys = true }

/** Key of task [index] of the submission with [id], under which the upstream logs its starts. */
internal fun taskKey(id: String, index: Int): String = "$id/$index"

/**
 * Faults in the [answer] to the submission of [tasks] tasks with [id]. For a job that did not complete, results and a wrong id count as
 * faults; a refusal or a failed call has none.
 */
internal fun checkAnswer(id: String, tasks: Int, answer: Answer): Set<AnswerFault> = when (answer) {
    is Answer.Result -> setOfNotNull(checkResult(id, 0, answer.text))
    is Answer.View -> checkView(id, tasks, answer.view)
    is Answer.Refused, is Answer.CallFailed -> emptySet()
}

private fun checkView(id: String, tasks: Int, view: JobView): Set<AnswerFault> {
    val results = view.results
    val idFault = setOfNotNull(AnswerFault.FOREIGN.takeIf { view.id.text != id })
    if (view.state != JobState.COMPLETE) return idFault + setOfNotNull(AnswerFault.PARTIAL.takeIf { results != null })
    val isComplete = results?.size == tasks && view.tasks == tasks
    val faults = results.orEmpty().mapIndexedNotNull { index, text -> checkResult(id, index, text) }
    return idFault + setOfNotNull(AnswerFault.PARTIAL.takeIf { !isComplete }) + faults
}

private fun checkResult(id: String, index: Int, text: String): AnswerFault? {
    val key = runCatching { workerJson.decodeFromString<WorkerAnswer>(text).key }.getOrNull()
    return when {
        key == null -> AnswerFault.UNREADABLE
        key == taskKey(id, index) -> null
        key.substringBeforeLast('/') == id -> AnswerFault.OUT_OF_ORDER
        else -> AnswerFault.FOREIGN
    }
}
