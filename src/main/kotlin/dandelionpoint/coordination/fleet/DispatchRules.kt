package dandelionpoint.coordination.fleet

/**
 * When jobs are refused.
 *
 * @property lateFactor a job is refused if it is expected to take longer than this many times its objective ([DispatchedJob.objectiveMs])
 * @property maxWaitShare a job that has not started is refused after this share of the time up to its deadline, so that its client has
 *     time to submit it again
 * @property retrySpreadMs refused jobs are submitted again over this time or more after the expected wait, in ms; see [retryAfterMs]
 * @property maxJobs the most jobs in progress at once
 * @property lostRemoteRunDelayMs a task whose run was lost with another VM is not started again for this long, in ms, since the run may
 *     go on until its lease has expired
 */
internal data class DispatchRules(
    val lateFactor: Double = 1.3,
    val maxWaitShare: Double = 0.4,
    val retrySpreadMs: Long = 1_000,
    val maxJobs: Int = 2_000,
    val lostRemoteRunDelayMs: Long = 2_000,
)
