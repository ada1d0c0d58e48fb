/* Result of comparing the answers with the upstream's start log. */
package dandelionpoint.load

import kotlinx.serialization.Serializable

/**
 * Result of comparing the answers with the start log. [startedKeys] counts task keys started at least once, [starts] all starts of the
 * replay's keys. [duplicateStarts] counts the starts beyond the first of each key; those of idempotent requests, which may be repeated,
 * are counted as [idempotentRepeats] instead. [falseRefusals] counts submissions answered 'not run' although a task had started,
 * [startlessSuccesses] those answered OK although a task never started. [answerFaults] counts submissions by fault. [examples] lists
 * the kind and the id of the first findings.
 */
@Serializable
internal data class AuditResult(
    val startedKeys: Long,
    val starts: Long,
    val duplicateStarts: Long,
    val idempotentRepeats: Long,
    val falseRefusals: Long,
    val startlessSuccesses: Long,
    val answerFaults: Map<AnswerFault, Int>,
    val examples: List<String>,
) {
    /** True if no guarantee was violated: no duplicate start, no false refusal, no success without a start and no faulty answer. */
    val isClean: Boolean
        get() = duplicateStarts == 0L && falseRefusals == 0L && startlessSuccesses == 0L && answerFaults.isEmpty()
}
