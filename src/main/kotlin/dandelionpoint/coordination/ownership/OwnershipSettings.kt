package dandelionpoint.coordination.ownership

/** How an owner makes sure that no other VM starts the same id. */
internal enum class StartMode {
    /** The owner starts only ids created before a horizon that it has written to the shard row. */
    HORIZON,

    /** The owner writes an intent for each id before it starts it. */
    COMMIT,
}

/** Settings of shard ownership. Times are in ms, sizes in bytes. */
internal data class OwnershipSettings(
    val shards: Int = 16,
    val mode: StartMode = StartMode.HORIZON,
    /** Time between two renewals of a shard row by its owner. */
    val renewEveryMs: Long = 2_000,
    /** Minimum time between two attempts at a renewal while the table does not answer. */
    val renewRetryMs: Long = 250,
    /**
     * How far a renewal moves the horizon of the shard row ahead of the clock, and thus the length of the lease. The horizon is the
     * creation time up to which the owner may start ids (see [ShardRow]).
     */
    val horizonMs: Long = 6_000,
    /** Added to [horizonMs] before a takeover, for the drift between the monotonic clocks of two VMs within one lease. */
    val takeoverMarginMs: Long = 1_000,
    /** Maximum time for which a start waits for a renewal, a takeover or the loading of records. */
    val startWaitMs: Long = 1_000,
    /** Ids older than this are refused, and their records are deleted. */
    val recordLifetimeMs: Long = 3_600_000,
    /** Ids whose creation time is further ahead of the clock than this are refused. */
    val futureToleranceMs: Long = 5_000,
    /** Minimum time between two record rows of a shard. */
    val recordEveryMs: Long = 250,
    /** Maximum time for which the answer of a finished submission waits for its record to become durable. */
    val durableWaitMs: Long = 250,
    /** Results larger than this are written to the object store. */
    val inlineResultBytes: Int = 4_096,
    /** Maximum number of records in one record row, and of intents in one intent row. */
    val recordsPerRow: Int = 500,
    /** Maximum size of the inline results in one record row. */
    val bytesPerRow: Long = 262_144,
    /** Maximum size of the results held in memory for each shard. */
    val resultMemoryBytes: Long = 2_097_152,
    /** Time between two reads of all shard rows. */
    val watchEveryMs: Long = 500,
    /** Minimum time between two reads of the shard rows when waiting callers request them, and time between two steps of a handover. */
    val minPollIntervalMs: Long = 100,
    /** Shards without a row are not taken earlier after the start, so that peers' first heartbeats count in the balance. */
    val startupDelayMs: Long = 300,
    /** A free shard that its preferred VM has not taken within this time may be taken by any VM. */
    val preferredTakeoverMs: Long = 1_000,
    /** A release lowers the horizon to this far ahead of the clock, or further if a newer id has already started. */
    val handoverLeadMs: Long = 100,
    /** For this time after a release the previous owner still starts ids below the lowered horizon; then its epoch drains and completes. */
    val previousStartMs: Long = 5_000,
    /** The new owner closes the epoch of a previous owner that has not completed it within this time. */
    val previousTimeoutMs: Long = 60_000,
    /** The new owner closes that epoch earlier if the previous owner has not answered heartbeats for this long. */
    val previousAbsentMs: Long = 3_000,
    /** Maximum duration of the handover of all shards at a planned stop. */
    val releaseTimeoutMs: Long = 40_000,
    /** Time between two checks whether this VM owns more than its share of shards. */
    val balanceEveryMs: Long = 3_000,
    /** Reads per second that all VMs together may spend on loading records. */
    val recoveryReadsPerSecond: Int = 1_000,
    /** Time between two deletions of expired rows and entries. */
    val cleanEveryMs: Long = 60_000,
    /** A table call without an answer after this time has an unknown outcome. */
    val callTimeoutMs: Long = 2_500,
) {
    /** Time without a change of the row after which another VM may take the shard. */
    val takeoverAfterMs: Long get() = horizonMs + takeoverMarginMs
}
