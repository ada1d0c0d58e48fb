package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.peer.VmIdentity

/**
 * Settings of the configuration service of [vm].
 *
 * @property readIntervalMs time between reads of the head row; the actual time differs from it by at most the fraction [readJitter]
 * @property callTimeoutMs limit on one call to the table. A read of the old head, the pause, a read of the new head and a read of the
 * changes take at most 3 + 2.2 + 3 + 3 s, below the 13 s within which a change must reach every VM (promise P8)
 * @property snapshotDistance a VM that is behind by more versions than this reads the snapshot row instead of all changes
 * @property snapshotEvery number of versions after which the snapshot row is written again
 * @property historyRows number of changes kept in the table
 * @property changeAttempts attempts to make a change when other VMs' changes come first
 * @property resolveAttempts attempts to find out whether a write without an answer took effect
 * @property retryPauseMs longest pause before another attempt at a change, and first pause between attempts to resolve a write
 * @property maxWaitingChanges changes that may be in progress or wait on this VM at once; further ones are refused
 * @property pullIntervalMs shortest time between pulls from peers that have a newer version
 * @property confirmAfterMs a peer is asked for a confirmation when the last confirmation is older
 * @property confirmIntervalMs shortest time between pulls for a confirmation
 * @property peerReachableMs a peer counts as reachable for this time after its last heartbeat
 * @property peerRetentionMs a peer is listed for this time after its last heartbeat
 * @property maxPeers largest number of peers that are listed; the one with the oldest heartbeat is dropped first
 */
internal data class ConfigurationSettings(
    val vm: VmIdentity,
    val readIntervalMs: Long = 2_000,
    val readJitter: Double = 0.1,
    val callTimeoutMs: Long = 3_000,
    val snapshotDistance: Long = 64,
    val snapshotEvery: Long = 32,
    val historyRows: Long = 1_000,
    val changeAttempts: Int = 8,
    val resolveAttempts: Int = 4,
    val retryPauseMs: Long = 100,
    val maxWaitingChanges: Int = 64,
    val pullIntervalMs: Long = 500,
    val confirmAfterMs: Long = 5_000,
    val confirmIntervalMs: Long = 2_000,
    val peerReachableMs: Long = 3_000,
    val peerRetentionMs: Long = 3_600_000,
    val maxPeers: Int = 1_024,
)
