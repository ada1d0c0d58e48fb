package dandelionpoint.coordination.ownership

/** How an owner makes a start exclusive: below a durable horizon, or after a durable intent. */
internal enum class StartMode { HORIZON, COMMIT }

/** Settings of shard ownership. Times are in ms. */
internal data class OwnershipSettings(
    val shards: Int = 16,
    val mode: StartMode = StartMode.HORIZON,
    val renewEveryMs: Long = 2_000,
    /** Least time between two attempts of a renewal while the table gives no answer. */
    val renewRetryMs: Long = 250,

    val horizonMs: Long = 6_000,
    /** Added to [horizonMs] before a takeover; allows for the drift of two monotonic clocks within one lease. */
    val takeoverMarginMs: Long = 1_000,
    /** Longest wait of a start for a renewal, a takeover or the load of records. */
    val startWaitMs: Long = 1_000,
    val recordLifetimeMs: Long = 3_600_000,
    val futureToleranceMs: Long = 5_000,
    /** Least time between two record rows of a shard. */
    val recordEveryMs: Long = 250,
    /** Longest wait of a finished submission for its record. */
    val durableWaitMs: Long = 250,
    /** Results above this go to the object store. */
    val inlineResultBytes: Int = 4_096,
    /** Most records and most bytes of inline results in one record row. */
    val recordsPerRow: Int = 500,
    val bytesPerRow: Long = 262_144,
    /** Bytes of results held in memory for each shard. */
    val resultMemoryBytes: Long = 2_097_152,
    val watchEveryMs: Long = 500,
    /** Least time between two reads of the rows that waiting callers cause, and between two steps of a handover. */
    val nudgeEveryMs: Long = 100,
    /** Free shards without a row are not taken before this, so that peers' first heartbeats are counted in the balance. */
    val startupDelayMs: Long = 300,
    /** A free shard whose preferred VM does not take it within this time is taken by any VM. */
    val preferredTakeoverMs: Long = 1_000,
    val handoverLeadMs: Long = 100,
    /** After a release, ids below the lowered horizon are started for this long; then the epoch drains and completes. */
    val previousStartMs: Long = 5_000,
    /** The new owner gives up on a previous owner that has not completed its epoch after this time. */
    val previousTimeoutMs: Long = 60_000,
    /** It gives up this early on a previous owner that is not among the live VMs for this long. */
    val previousAbsentMs: Long = 3_000,
    val releaseTimeoutMs: Long = 40_000,
    val balanceEveryMs: Long = 3_000,
    /** Reads a second that all VMs together may spend on recovery. */
    val recoveryReadsPerSecond: Int = 1_000,
    val cleanEveryMs: Long = 60_000,
    /** A table call without an answer after this time has an unknown outcome. */
    val callTimeoutMs: Long = 2_500,
) {
    /** Time without a change of the row after which another VM may take the shard. */
    val takeoverAfterMs: Long get() = horizonMs + takeoverMarginMs
}
