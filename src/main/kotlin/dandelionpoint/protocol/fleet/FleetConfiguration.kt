/* The configuration that the operator has put into the shared store: which queue a request belongs to. */
package dandelionpoint.protocol.fleet

/** Requests to [host] below [pathPrefix] belong to [queue]. */
data class QueueRoute(val host: String, val pathPrefix: String, val queue: JobQueue)

/** Configuration [version]. [document] is its text as stored, for peers that cannot reach the store. */
data class FleetConfiguration(val version: Long, val routes: List<QueueRoute>, val document: String = "") {
    private val byHost = routes.groupBy { it.host }.mapValues { (_, same) -> same.sortedByDescending { it.pathPrefix.length } }

    /** The route with the longest prefix of [path] on [host], or null. */
    fun route(host: String, path: String): QueueRoute? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
