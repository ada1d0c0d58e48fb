/* Decides how many slots to request from each other allocator for the waiting tasks. */
package dandelionpoint.coordination.placement

import dandelionpoint.state.worker.SpeedBuckets

/**
 * Assignment of the waiting tasks to the fastest slots that are known to be free. [requested] has the number of slots to request from each
 * peer. Until the requests are answered, only slots that are held here in [slowestBucket] or a faster one are used. [unfilled] is the
 * number of tasks for which no free slot is known.
 */
internal class SlotRequestPlan(val requested: IntArray, val slowestBucket: Int, val unfilled: Int) {
    companion object {
        /**
         * Creates a plan for [tasks] tasks. [local] and each element of [remote] have the number of free slots by speed bucket. A remote
         * slot ranks [remoteBucketPenalty] buckets slower than it is, to account for the time that leasing it takes.
         */
        fun create(tasks: Int, local: IntArray, remote: List<IntArray>, remoteBucketPenalty: Int): SlotRequestPlan {
            val requested = IntArray(remote.size)
            var left = tasks
            for (bucket in 0 until SpeedBuckets.COUNT) {
                left -= local[bucket]
                if (left <= 0) return SlotRequestPlan(requested, bucket, 0)
                val remoteBucket = bucket - remoteBucketPenalty
                if (remoteBucket >= 0) left -= requestFrom(left, remoteBucket, remote, requested)
                if (left <= 0) return SlotRequestPlan(requested, bucket, 0)
            }
            return SlotRequestPlan(requested, SpeedBuckets.LAST, left)
        }

        private fun requestFrom(wanted: Int, bucket: Int, remote: List<IntArray>, requested: IntArray): Int {
            var allotted = 0
            for (peer in remote.indices) {
                val count = minOf(wanted - allotted, remote[peer][bucket])
                requested[peer] += count
                allotted += count
            }
            return allotted
        }
    }
}
