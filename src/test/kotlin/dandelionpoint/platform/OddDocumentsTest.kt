package dandelionpoint.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll

private val CONFIG = PropTestConfig(seed = 23, iterations = 1_000)

private const val JOB_ID = "0000000000000001"

/** The decoders of documents that other programs write; each returns null or a typed refusal for a document that it cannot use. */
private val DECODERS: Map<String, Pair<String, (ByteArray) -> Any?>> = mapOf(
    "worker" to (VALID_WORKER to { bytes -> decodeWorker("i-1", bytes) }),
    "configuration" to (VALID_CONFIGURATION to { bytes -> decodeConfiguration(bytes) }),
    "job" to (VALID_JOB to { bytes -> decodeJob(JOB_ID, bytes) }),
    "object" to (VALID_RUN_LIST to { bytes -> parseObject(bytes) }),
)

/**
 * Guards against documents of other writers that end a loop or the process: a decoder that throws, or returns a value that a later step
 * cannot use, such as an address that no request can be sent to, or numbers whose sums overflow.
 */
internal class OddDocumentsTest :
    DescribeSpec({
        describe("a decoder") {
            // Guards against a StackOverflowError, which ends the coroutine that follows a table.
            DECODERS.forEach { (name, decoder) ->
                val (valid, decode) = decoder
                it("of a $name refuses a document that is nested too deeply, and throws nothing") {
                    listOf(nestedArrays(30_000), nestedObjects(30_000), "[".repeat(60_000), """{"a":""".repeat(13_000)).forEach { nested ->
                        decode(nested.encodeToByteArray())
                        decode((valid.dropLast(1) + ""","x":$nested}""").encodeToByteArray())
                    }
                }

                it("of a $name throws nothing for valid documents with odd values and changed bytes") {
                    checkAll(CONFIG, oddDocuments(valid)) { bytes -> decode(bytes) }
                }

                it("of a $name throws nothing for random bytes") {
                    checkAll(CONFIG, Arb.byteArray(Arb.int(0..200), Arb.byte())) { bytes -> decode(bytes) }
                }
            }

            it("accepts brackets within a string, however many") {
                val text = VALID_WORKER.replace("1.2", "[{".repeat(1_000))
                decodeWorker("i-1", text.encodeToByteArray()).shouldNotBeNull()
            }
        }
    })
