/* Rows of the table that belong to shard ownership, and their keys. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.state.record.Record
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * Row `shard/<n>`. It is written only by the shard's owner and by a VM that takes the shard over. [epoch] is the fencing token: it
 * grows by 1 with each takeover. The other numbers are creation times of ids in ms.
 *
 * The owner may start ids in [[lowerBound], [horizon]). An id below [unknownBelow] without a record has an unknown outcome and never
 * starts. Ids in [[unknownBelow], [lowerBound]) belong to the owner of the epoch before, [previous], while it is set. Once it is no
 * longer set, those without a record may start under this epoch if [earlierRecordsComplete], as they have not started before;
 * otherwise their outcome is unknown.
 *
 * @property released the owner has handed the shard over: any VM may take it, and [horizon] does not rise any more
 */
@Serializable
internal data class ShardRow(
    val epoch: Long,
    val owner: VmIdentity,
    val horizon: Long,
    val released: Boolean = false,
    val previous: VmIdentity? = null,
    @SerialName("floor") val lowerBound: Long = 0,
    @SerialName("floorComplete") val earlierRecordsComplete: Boolean = true,
    val unknownBelow: Long = 0,
)

/**
 * State of an epoch, in the row `epoch/<n>/<epoch>`. Records and intents are written on condition that the row has
 * [EPOCH_OPEN_VERSION], which fences an earlier owner. It is a row of its own because each renewal changes the version of the shard row.
 */
@Serializable
internal enum class EpochState {
    /** The epoch's owner may write records and intents. */
    OPEN,

    /** Set by the epoch's owner: each submission that it started has a durable record, and it starts no more. */
    COMPLETE,

    /** Set by the next owner, so that no more records and intents of this epoch are written. */
    CLOSED,
}

/** Version of an epoch row while it is open: it is created once and changed once. */
internal const val EPOCH_OPEN_VERSION = 1L

/** A batch of records, one row. */
@Serializable
internal data class RecordBatch(val records: List<Record>)

/** A submission that is about to start (mode `commit`). */
@Serializable
internal data class Intent(val id: String, val digest: String)

/** A batch of intents, one row. */
@Serializable
internal data class IntentBatch(val intents: List<Intent>)

/** Keys of the rows and objects. Epochs and sequence numbers are padded with zeros, so that key order is numeric order. */
internal object OwnershipKeys {
    const val SHARDS = "shard/"
    private const val EPOCH_DIGITS = 10
    private const val SEQUENCE_DIGITS = 12

    fun shard(shard: Int): String = "$SHARDS$shard"

    fun epoch(shard: Int, epoch: Long): String = "epoch/$shard/${pad(epoch, EPOCH_DIGITS)}"

    fun epochs(shard: Int): String = "epoch/$shard/"

    fun records(shard: Int): String = "record/$shard/"

    fun records(shard: Int, epoch: Long): String = "record/$shard/${pad(epoch, EPOCH_DIGITS)}/"

    fun record(shard: Int, epoch: Long, sequence: Long): String = records(shard, epoch) + pad(sequence, SEQUENCE_DIGITS)

    fun intents(shard: Int): String = "intent/$shard/"

    fun intent(shard: Int, epoch: Long, sequence: Long): String =
        intents(shard) + pad(epoch, EPOCH_DIGITS) + "/" + pad(sequence, SEQUENCE_DIGITS)

    /** Epoch in the key of a record or intent. */
    fun epochOf(key: String): Long = key.split('/')[2].toLong()

    fun results(shard: Int, epoch: Long, sequence: Long): String =
        "result/$shard/${pad(epoch, EPOCH_DIGITS)}/${pad(sequence, SEQUENCE_DIGITS)}"
}

private fun pad(number: Long, digits: Int): String = number.toString().padStart(digits, '0')

/** JSON of the rows. Unknown fields are ignored, so that a newer version can add fields. */
internal val ownershipJson = Json { ignoreUnknownKeys = true }
