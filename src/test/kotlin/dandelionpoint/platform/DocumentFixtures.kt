/* Documents as another writer may leave them: valid ones with odd values, and valid ones with random changes. */
package dandelionpoint.platform

import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import kotlin.random.Random

/** A worker's entry in which every field is valid. */
internal const val VALID_WORKER =
    """{"service":"p","address":"10.0.0.9:8080","zone":"akl-a","state":"ready","capacity":{"cpu":16000,"mem_mb":512,"gpu":1},""" +
        """"labels":["a","r1-3"],"version":"1.2","slots":4,"cold_left_ms":0,"seq":7,"born":17}"""

/** A configuration with one route. */
internal const val VALID_CONFIGURATION =
    """{"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","service":"p","priority":1,"max_attempts":2,""" +
        """"stretch":1.5,"latency_target_ms":300}],"services":[{"name":"p"}],"limits":{}}"""

/** A best-effort job with two steps. */
internal const val VALID_JOB =
    """{"spec":"s","best_effort":true,"steps":[{"count":2,"cpu":500,"mem_mb":64,"est_runtime_ms":60,"max_per_server":1},""" +
        """{"count":1,"cpu":500,"after":[0],"required_label":"a","affinity":"r1-3"}]}"""

/** A worker's run list with one run and one ended run. */
internal const val VALID_RUN_LIST =
    """{"clock_ms":482113,"born":17,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41]],""" +
        """"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}"""

/** [depth] arrays, each inside the one before. */
internal fun nestedArrays(depth: Int): String = "[".repeat(depth) + "]".repeat(depth)

/** [depth] objects and arrays, each inside the one before. */
internal fun nestedObjects(depth: Int): String = """{"a":[""".repeat(depth / 2) + "]}".repeat(depth / 2)

/** Values of the wrong type, out of range or of an unusual form. */
internal val ODD_VALUES = listOf(
    "1e400", "-1e400", "99999999999999999999", "-1", "-0", "1.5", "NaN", "Infinity", "1e", "0x10", "9223372036854775807", "2147483648",
    "65536", "null", "true", "\"\"", "\" \"", "\"\\u0000\"", "\"\\ud800\"", "\"a b:80\"", "\"[::1:80\"", "\"h:0\"", "\"h:65536\"",
    "\"h:-1\"", "\"h:99999999999\"", "\"é:80\"", "\"a/b@c:80\"", "\"..:80\"", "\"" + "x".repeat(200) + ":80\"", "{}", "[]", "[[]]",
    nestedArrays(20_000), nestedObjects(20_000),
)

/** Start and end of each string, number and word in [document]: the places at which another value may be put. */
private fun values(document: String): List<IntRange> = Regex("\"[^\"]*\"|-?[0-9.]+|true|false").findAll(document).map { it.range }.toList()

private fun Random.change(document: ByteArray): ByteArray {
    if (document.isEmpty()) return document
    val at = nextInt(document.size)
    val end = minOf(document.size, at + nextInt(1, 8))
    return when (nextInt(4)) {
        0 -> document.copyOf().also { it[at] = nextInt(256).toByte() }
        1 -> document.copyOfRange(0, at) + document.copyOfRange(end, document.size)
        2 -> document.copyOfRange(0, end) + document.copyOfRange(at, document.size)
        else -> document.copyOfRange(0, at)
    }
}

private fun Random.withOddValue(document: String): String {
    val place = values(document).ifEmpty { return document }.random(this)
    return document.replaceRange(place, ODD_VALUES.random(this))
}

/** [document] with an odd value in some places, and in half of the cases with some bytes changed, removed or repeated. */
internal fun oddDocuments(document: String): Arb<ByteArray> = arbitrary { source ->
    val random = source.random
    var text = document
    repeat(random.nextInt(3)) { text = random.withOddValue(text) }
    var bytes = text.encodeToByteArray()
    if (random.nextBoolean()) repeat(random.nextInt(1, 4)) { bytes = random.change(bytes) }
    bytes
}
