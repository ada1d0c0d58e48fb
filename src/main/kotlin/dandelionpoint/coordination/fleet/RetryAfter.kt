/* When a client may submit a refused job again. */
package dandelionpoint.coordination.fleet

private const val HASH_BITS = 16

/**
 * Time in ms, at least 1, after which the client may submit the job [jobId] again: the wait that is expected now, [expectedWaitMs], and up
 * to as much again and [spreadMs], by the job's id. Jobs that are refused together so come again one by one.
 */
internal fun retryAfterMs(jobId: String, expectedWaitMs: Double, spreadMs: Long): Long {
    val share = (Cells.mix(jobId.hashCode()) ushr (Int.SIZE_BITS - HASH_BITS)).toDouble() / (1 shl HASH_BITS)
    val waitMs = expectedWaitMs.coerceIn(0.0, MAX_RETRY_WAIT_MS)
    return (waitMs + share * (waitMs + spreadMs)).toLong().coerceAtLeast(1)
}

/** A longer expected wait is not named, since load may end earlier, in ms. */
private const val MAX_RETRY_WAIT_MS = 5_000.0
