/* Raw result of a replay, from which the report is built. */
package dandelionpoint.load

/**
 * Raw result of a replay. [outcomes] are in order of arrival; [idealMs] has the ideal response time of each by its number. [workerCalls]
 * counts calls to workers by outcome and is empty if the entry VMs report none; [quotas] maps teams to their weights.
 */
internal class ReplayResult(
    val settings: ReplaySettings,
    val workload: Workload,
    val outcomes: List<SubmissionOutcome>,
    val idealMs: DoubleArray,
    val audit: AuditResult,
    val workerCalls: Map<String, Long> = emptyMap(),
    val platformUsage: PlatformUsage? = null,
    val quotas: Map<String, Int> = emptyMap(),
)
