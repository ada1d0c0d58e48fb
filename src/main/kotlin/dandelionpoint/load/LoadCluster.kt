/* Addresses of the cluster that a replay runs against. */
package dandelionpoint.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

/**
 * Addresses of a cluster: [entries] as host:port, [upstream] (its control port) and [platform] as base URLs. Without [platform], store
 * operations are not counted. [tokenFile] has lines `token role-or-team`; [quotas] maps teams to their weights.
 */
@Serializable
internal data class LoadCluster(
    val name: String,
    val entries: List<String>,
    val upstream: String,
    val platform: String? = null,
    val tokenFile: String? = null,
    val quotas: Map<String, Int> = emptyMap(),
) {
    fun entryAddresses(): List<EntryAddress> = entries.map { EntryAddress.parse(it) }

    /** Tokens by team or role, from the token file. */
    fun tokens(): Map<String, String> = tokenFile?.let { readTokens(Files.readAllLines(Path.of(it))) }.orEmpty()

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Reads a cluster from the JSON file that `scripts/cluster.sh` writes. */
        fun read(file: Path): LoadCluster = json.decodeFromString(Files.readString(file))

        /** Parses lines `token role-or-team`. If a team has several tokens, the first is used. */
        fun readTokens(lines: List<String>): Map<String, String> = lines
            .map { it.substringBefore('#').trim().split(Regex("\\s+")) }
            .filter { it.size == 2 }
            .groupBy({ it[1] }, { it[0] })
            .mapValues { it.value.first() }
    }
}
