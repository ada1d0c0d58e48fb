package dandelionpoint.load

internal const val ID = "0193912c-0000-7000-8000-000000000001"
internal const val OTHER_ID = "0193912c-0000-7000-8000-000000000002"

internal fun submission(
    tasksMs: List<Double> = listOf(100.0),
    atMs: Double = 0.0,
    kind: SubmissionKind = SubmissionKind.JOB,
    number: Int = 0,
    team: String = "tracks",
    deadlineMs: Int = 10_000,
    idempotent: Boolean = false,
    resubmitAfterMs: List<Double> = emptyList(),
) = Submission(
    number = number,
    kind = kind,
    atMs = atMs,
    team = team,
    taskClass = "track",
    deadlineMs = deadlineMs,
    idempotent = idempotent,
    tasks = tasksMs.map { TaskTime(it, it.toInt()) },
    resubmitAfterMs = resubmitAfterMs,
    idBits = number.toLong() to number.toLong(),
)

internal fun workerAnswer(key: String) = """{"key":"$key","worker":"worker-0001","ms":1.5}"""

internal fun outcome(
    answer: Answer,
    submission: Submission = submission(),
    sentMs: Double = submission.atMs,
    answeredMs: Double = submission.atMs + 100,
) = SubmissionOutcome(submission, ID, listOf(Attempt(sentMs, answeredMs, answer)))

internal fun settings() = ReplaySettings(
    trace = "trace",
    cluster = "cluster",
    load = 0.8,
    timeScale = 1.0,
    spanSeconds = 1.0,
    seed = 1,
    entries = 1,
    slots = 8,
    capacity = 8.0,
    idealOrder = IdealOrder.SHORTEST,
)
