package dandelionpoint.protocol

import kotlinx.serialization.Serializable
import java.util.UUID

/**
 * Id of a submission: a UUID version 7 (RFC 9562), chosen by the client. Its first 48 bits are the creation time in ms since
 * 1970-01-01 UTC, by the client's clock.
 */
@Serializable
@JvmInline
value class SubmissionId(val text: String) {
    /** Creation time in ms since the Unix epoch. */
    val createdAtMs: Long
        get() = UUID.fromString(text).mostSignificantBits ushr UNIX_TIME_SHIFT

    /** Shard of this id, from 0 to [shards] - 1. Uses the random low bits, so that ids of the same ms spread over all shards. */
    fun shard(shards: Int): Int = Math.floorMod(UUID.fromString(text).leastSignificantBits xor RANDOM_MIX, shards.toLong()).toInt()

    override fun toString(): String = text

    companion object {
        private const val UNIX_TIME_SHIFT = 16
        private const val RANDOM_MIX = 0L
        private const val UUID_VERSION = 7
        private const val UUID_TEXT_LENGTH = 36

        /** Returns the id for [text], or null if [text] is not a UUID version 7 in its 36-character form. */
        fun parse(text: String): SubmissionId? {
            if (text.length != UUID_TEXT_LENGTH) return null
            val uuid = runCatching { UUID.fromString(text) }.getOrNull() ?: return null
            return if (uuid.version() == UUID_VERSION) SubmissionId(uuid.toString()) else null
        }

        /** Creates an id from [nowMs], in ms since the Unix epoch, and 74 random bits taken from [randomHigh] and [randomLow]. */
        fun create(nowMs: Long, randomHigh: Long, randomLow: Long): SubmissionId {
            val high = (nowMs shl UNIX_TIME_SHIFT) or (UUID_VERSION.toLong() shl 12) or (randomHigh and 0xFFF)
            val low = (randomLow and 0x3FFF_FFFF_FFFF_FFFFL) or Long.MIN_VALUE
            return SubmissionId(UUID(high, low).toString())
        }
    }
}
