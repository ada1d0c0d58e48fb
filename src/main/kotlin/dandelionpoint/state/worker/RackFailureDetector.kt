/* Racks that are avoided because several of their workers became unreachable together. */
package dandelionpoint.state.worker

/**
 * Detects failures of whole racks: a rack is avoided once [UNREACHABLE_WORKERS] of its workers became unreachable within [windowMs].
 * Thread-safe.
 */
internal class RackFailureDetector(private val windowMs: Long = WINDOW_MS) {
    private val unreachable = HashMap<String, HashMap<String, Long>>()
    private val avoided = HashSet<String>()

    /** Number of racks that are avoided now. */
    @Volatile
    var avoidedCount = 0
        private set

    /** Records that [workerId] is unreachable; returns true if its rack is to be avoided from now on. */
    @Synchronized
    fun markUnreachable(rackKey: String, workerId: String, nowMs: Long): Boolean {
        val seen = unreachable.getOrPut(rackKey) { HashMap() }
        seen[workerId] = nowMs
        seen.values.removeIf { it < nowMs - windowMs }
        if (seen.size < UNREACHABLE_WORKERS || !avoided.add(rackKey)) return false
        avoidedCount = avoided.size
        return true
    }

    /** Records that a worker of the rack answered; returns true if that ends the avoidance of the rack. */
    @Synchronized
    fun markAnswered(rackKey: String): Boolean {
        unreachable.remove(rackKey)
        val wasAvoided = avoided.remove(rackKey)
        avoidedCount = avoided.size
        return wasAvoided
    }

    private companion object {
        const val WINDOW_MS = 2_000L
        const val UNREACHABLE_WORKERS = 2
    }
}
