package dandelionpoint.state.job

import dandelionpoint.protocol.SubmissionId

/** Jobs of this VM by id, in shards that each have their own lock. Thread-safe. */
internal class JobRegistry {
    private class Shard {
        val jobs = HashMap<SubmissionId, Job>()
    }

    private val shards = Array(SHARDS) { Shard() }

    private fun shard(id: SubmissionId) = shards[id.shard(SHARDS)]

    /** Adds [job] unless there is a job with its id. Returns the job that is registered afterwards. */
    fun putIfAbsent(job: Job): Job {
        val shard = shard(job.submission.id)
        return synchronized(shard) { shard.jobs.getOrPut(job.submission.id) { job } }
    }

    /** Returns the job with [id], or null if this VM does not run it. */
    fun find(id: SubmissionId): Job? {
        val shard = shard(id)
        return synchronized(shard) { shard.jobs[id] }
    }

    fun remove(id: SubmissionId) {
        val shard = shard(id)
        synchronized(shard) { shard.jobs.remove(id) }
    }

    fun size(): Int = shards.sumOf { synchronized(it) { it.jobs.size } }

    private companion object {
        const val SHARDS = 64
    }
}
