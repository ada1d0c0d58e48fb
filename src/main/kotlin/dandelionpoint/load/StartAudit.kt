/* Compares the answers that callers received with the starts that the upstream recorded. */
package dandelionpoint.load

/** Compares [outcomes] with the start counts from [startsOf], which is called with at most [batchKeys] keys at a time. */
internal fun auditStarts(
    outcomes: List<SubmissionOutcome>,
    batchKeys: Int = AUDIT_BATCH_KEYS,
    startsOf: (List<String>) -> Map<String, Int>,
): AuditResult {
    val accumulator = AuditAccumulator()
    outcomes.batchedByKeys(batchKeys).forEach { batch ->
        val counts = startsOf(batch.flatMap { it.keys() })
        batch.forEach { outcome -> accumulator.add(outcome, outcome.keys().map { counts[it] ?: 0 }) }
    }
    return accumulator.result()
}

private const val AUDIT_BATCH_KEYS = 20_000
private const val MAX_EXAMPLES = 20

/** Splits the list into batches of at most [maxKeys] task keys; a submission with more keys forms a batch by itself. */
private fun List<SubmissionOutcome>.batchedByKeys(maxKeys: Int): List<List<SubmissionOutcome>> {
    val batches = mutableListOf<MutableList<SubmissionOutcome>>()
    var remainingKeys = 0
    forEach { outcome ->
        if (batches.isEmpty() || outcome.submission.tasks.size > remainingKeys) {
            batches += mutableListOf<SubmissionOutcome>()
            remainingKeys = maxKeys
        }
        batches.last() += outcome
        remainingKeys -= outcome.submission.tasks.size
    }
    return batches
}

private class AuditAccumulator {
    private var startedKeys = 0L
    private var starts = 0L
    private var duplicateStarts = 0L
    private var idempotentRepeats = 0L
    private var falseRefusals = 0L
    private var startlessSuccesses = 0L
    private val faults = sortedMapOf<AnswerFault, Int>()
    private val examples = mutableListOf<String>()

    fun add(outcome: SubmissionOutcome, counts: List<Int>) {
        val surplus = counts.sumOf { (it - 1).coerceAtLeast(0) }
        startedKeys += counts.count { it > 0 }
        starts += counts.sum()
        if (outcome.submission.isRepeatAllowed) {
            idempotentRepeats += surplus
        } else {
            duplicateStarts += surplus.also { addExample(it > 0, "duplicate start", outcome) }
        }
        val isFalselyRefused = counts.any { it > 0 } && outcome.hasFinalRefusal()
        if (isFalselyRefused) falseRefusals++
        addExample(isFalselyRefused, "false refusal", outcome)
        val isStartlessSuccess = outcome.isOk && counts.any { it == 0 }
        if (isStartlessSuccess) startlessSuccesses++
        addExample(isStartlessSuccess, "success without start", outcome)
        outcome.faults.forEach {
            faults.merge(it, 1, Int::plus)
            addExample(true, it.name.lowercase(), outcome)
        }
    }

    fun result() = AuditResult(startedKeys, starts, duplicateStarts, idempotentRepeats, falseRefusals, startlessSuccesses, faults, examples)

    private fun addExample(isFinding: Boolean, what: String, outcome: SubmissionOutcome) {
        if (isFinding && examples.size < MAX_EXAMPLES) examples += "$what: ${outcome.id}"
    }
}

/** Idempotent requests may by design be sent to workers more than once. */
private val Submission.isRepeatAllowed: Boolean get() = kind == SubmissionKind.REQUEST && idempotent

/**
 * True if an answer stated 'not run' and no later attempt with the same id can be the one that ran. A refusal is not false if the work
 * was submitted again after it and ran then.
 */
private fun SubmissionOutcome.hasFinalRefusal(): Boolean = attempts.any { refusal ->
    refusal.answer.reportsNotRun && attempts.none { it.sentMs >= refusal.answeredMs && it.answer.mayHaveRun }
}

private val Answer.mayHaveRun: Boolean
    get() =
        when (this) {
            is Answer.CallFailed -> !isUnsent
            else -> !reportsNotRun
        }
