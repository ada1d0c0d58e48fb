/* Sums of waiting work by pool and priority, as heartbeats announce them. */
package dandelionpoint.coordination.fleet

/** Work that waits for capacity, in core-ms by the clients' estimates. Not thread-safe. */
internal class WaitingWork {
    private val byPool = HashMap<String, LongArray>()

    /** Adds work of [priority]. All priorities above [LOWEST_PRIORITY] count as that one, which bounds the size of a heartbeat. */
    fun add(pool: String, priority: Int, coreMs: Long) {
        byPool.getOrPut(pool) { LongArray(LOWEST_PRIORITY + 1) }[index(priority)] += coreMs
    }

    /** The work of [pool] that is of [priority] or more urgent. */
    fun upTo(pool: String, priority: Int): Long = byPool[pool]?.let { sums -> (0..index(priority)).sumOf { sums[it] } } ?: 0

    /** The sums by pool, from priority 0 to the last one with any work. */
    fun announced(): Map<String, List<Long>> =
        byPool.mapValues { (_, sums) -> sums.toList().dropLastWhile { it == 0L } }.filterValues { it.isNotEmpty() }

    companion object {
        const val LOWEST_PRIORITY = 7

        private fun index(priority: Int) = priority.coerceIn(0, LOWEST_PRIORITY)

        /** The announced work of [pool] that is of [priority] or more urgent. */
        fun upTo(announced: Map<String, List<Long>>, pool: String, priority: Int): Long =
            announced[pool]?.asSequence()?.take(index(priority) + 1)?.sum() ?: 0
    }
}

/** The waiting work of [jobs], which this VM dispatches, and of [runs], which other VMs have requested. */
internal fun waitingWork(jobs: Collection<DispatchedJob>, runs: Collection<RunOrder>) = WaitingWork().also { work ->
    jobs.forEach { work.add(it.queue.pool, it.queue.priority, it.waitingCoreMs()) }
    runs.forEach { work.add(it.pool, it.priority, it.coreMs) }
}
