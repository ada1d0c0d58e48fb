/* The fleet configuration, which the operator writes to the shared store: which queue a request belongs to. */
package dandelionpoint.protocol.fleet

/** Requests to [host] whose path starts with [pathPrefix] belong to [queue]. */
data class QueueRoute(val host: String, val pathPrefix: String, val queue: JobQueue)

/** Configuration [version]. [document] is its text as stored, to be passed on to peers that cannot reach the store. */
data class FleetConfiguration(val version: Long, val routes: List<QueueRoute>, val document: String = "") {
    private val byHost = routes.groupBy { it.host }.mapValues { (_, same) -> same.sortedByDescending { it.pathPrefix.length } }

    /** The route on [host] with the longest prefix that matches [path], or null if none matches. */
    fun route(host: String, path: String): QueueRoute? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
