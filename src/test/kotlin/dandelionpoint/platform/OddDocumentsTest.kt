package dandelionpoint.platform

import dandelionpoint.protocol.fleet.JobStep
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import okhttp3.Request

private val CONFIG = PropTestConfig(seed = 23, iterations = 1_000)

private const val JOB_ID = "0000000000000001"

/** The decoders of documents that other programs write; each returns null or a typed refusal for a document that it cannot use. */
private val DECODERS: Map<String, Pair<String, (ByteArray) -> Any?>> = mapOf(
    "worker" to (VALID_WORKER to { bytes -> decodeWorker("i-1", bytes) }),
    "configuration" to (VALID_CONFIGURATION to { bytes -> decodeConfiguration(bytes) }),
    "job" to (VALID_JOB to { bytes -> decodeJob(JOB_ID, bytes) }),
    "object" to (VALID_RUN_LIST to { bytes -> parseObject(bytes) }),
)

/** The body of a job whose only step has [members]. */
private fun jobWithStep(members: String) = decodeJob(JOB_ID, """{"best_effort":true,"steps":[{$members}]}""".encodeToByteArray())

private fun workerWith(field: String, value: String): ByteArray {
    val member = Regex("\"$field\":(\"[^\"]*\"|-?[0-9]+|\\[[^]]*]|\\{[^}]*})")
    check(member.containsMatchIn(VALID_WORKER))
    return VALID_WORKER.replace(member, Regex.escapeReplacement("\"$field\":$value")).encodeToByteArray()
}

/**
 * Guards against documents of other writers that end a loop or the process: a decoder that throws, or returns a value that a later step
 * cannot use, such as an address that no request can be sent to, or numbers whose sums overflow.
 */
internal class OddDocumentsTest :
    DescribeSpec({
        // Guards against a change of a worker, such as its draining, that is taken for a heartbeat and not decoded.
        describe("two registrations of one worker") {
            fun isSame(earlier: String, later: String) = areEqualButForCounter(earlier.encodeToByteArray(), later.encodeToByteArray())
            val first = """{"address":"10.1.0.1:1","seq":9,"state":"ready"}"""

            it("are the same only if nothing but the number of the heartbeat differs") {
                isSame(first, first.replace("9", "10")) shouldBe true
                isSame(first, first.replace("ready", "draining")) shouldBe false
                isSame(first, first.replace("10.1.0.1", "10.1.0.2")) shouldBe false
                isSame(first, first.replace("9", "10").replace("ready", "lost!")) shouldBe false
                isSame(first, first.replace("9", "\"seq\":9")) shouldBe false
                isSame(first, first.dropLast(1) + ",\"seq\":9}") shouldBe false
                first.indices.forEach { isSame(first, first.take(it)) shouldBe false }
            }

            it("differ if the counter is missing, not a whole number or there twice") {
                isSame("{}", "{}") shouldBe false
                isSame("""{"seq":"1"}""", """{"seq":"2"}""") shouldBe false
                isSame("""{"seq":1.5}""", """{"seq":1.6}""") shouldBe false
                isSame("""{"seq":1,"seq":1}""", """{"seq":1,"seq":2}""") shouldBe false
                isSame("""{"seq":1""", """{"seq":""") shouldBe false
            }
        }

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

        describe("a worker's entry") {
            // Guards against an address that the HTTP client refuses when the first call is made, in the loop that leases the worker.
            it("with an address that no request can be sent to names no worker") {
                listOf(
                    "h:0", "h:65536", "h:-1", "h:+80", "h:99999999999", "h:8080x", "h", ":80", "a b:80", "a\\u0000:80", "a\\n:80", "a/b:80",
                    "a@b:80", "a?b:80", "a#b:80", "a%zz:80", "..:80", "a..b:80", "[::1:80", "é:80", "-:", " 10.0.0.9:80", "10.0.0.9:80 ",
                ).forEach { withClue(it) { decodeWorker("i-1", workerWith("address", "\"$it\"")).shouldBeNull() } }
            }

            it("with an id that cannot be sent in a header names no worker") {
                listOf("", " ", "i\n1", "i\u0000", "é", "i".repeat(201)).forEach { id ->
                    withClue(id) { decodeWorker(id, VALID_WORKER.encodeToByteArray()).shouldBeNull() }
                }
            }

            // Guards against sums of capacities that overflow, and against a negative capacity that frees others.
            it("with a capacity, start time or label that is out of range or of another type names no worker") {
                listOf("{}", "{\"cpu\":-1}", "{\"cpu\":1e400}", "{\"cpu\":\"1\"}", "{\"cpu\":2147483647}", "{\"cpu\":1000,\"gpu\":-1}", "7")
                    .forEach { withClue(it) { decodeWorker("i-1", workerWith("capacity", it)).shouldBeNull() } }
                listOf("-1", "1e400", "99999999999999999999", "9223372036854775807", "NaN", "\"17\"", "1.5", "true")
                    .forEach { withClue(it) { decodeWorker("i-1", workerWith("born", it)).shouldBeNull() } }
                listOf("7", "[7]", "\"a\"", "[[\"a\"]]").forEach {
                    withClue(it) { decodeWorker("i-1", workerWith("labels", it)).shouldBeNull() }
                }
                listOf("\"\"", "\"a\\u0000\"", "\"" + "z".repeat(201) + "\"").forEach {
                    withClue(it) { decodeWorker("i-1", workerWith("zone", it)).shouldBeNull() }
                }
            }

            it("that is accepted has an address and an id that a request can be built with, whatever the entry was") {
                checkAll(CONFIG, oddDocuments(VALID_WORKER)) { bytes ->
                    decodeWorker("i-1", bytes)?.let { entry ->
                        Request.Builder().url("http://${entry.host}:${entry.port}/v1/hold").header("Expected-Instance", entry.id).build()
                        entry.capacity.covers(entry.capacity - entry.capacity) shouldBe true
                    }
                }
            }
        }

        describe("a submission") {
            // Guards against a negative demand, which would count as additional free capacity of the worker.
            it("with a number out of range in a step is malformed") {
                listOf(
                    "\"count\":1,\"cpu\":-1", "\"count\":1,\"cpu\":99999999999", "\"count\":1,\"cpu\":\"1\"", "\"count\":1,\"mem_mb\":-5",
                    "\"count\":1,\"gpu\":1e400", "\"count\":1,\"est_runtime_ms\":-1", "\"count\":1,\"est_runtime_ms\":9223372036854775807",
                    "\"count\":1,\"max_per_server\":-1", "\"count\":0", "\"count\":1e400", "\"count\":1,\"after\":[-1]",
                ).forEach { withClue(it) { jobWithStep(it).shouldBeInstanceOf<SubmittedBody.Malformed>() } }
            }

            // Guards against a job whose tasks fill the heap, which ends the process: a body of 200 KB can ask for 16 million tasks.
            it("with more tasks in all steps than a VM has memory for is malformed") {
                val steps = List(12_000) { """{"count":1200}""" }.joinToString(",")
                decodeJob(JOB_ID, """{"best_effort":true,"steps":[$steps]}""".encodeToByteArray())
                    .shouldBeInstanceOf<SubmittedBody.Malformed>()
            }

            it("that is accepted has an amount of work that can be added up, whatever the body was") {
                checkAll(CONFIG, oddDocuments(VALID_JOB)) { bytes ->
                    (decodeJob(JOB_ID, bytes) as? SubmittedBody.BestEffort)?.job?.steps?.let { steps ->
                        steps.forEach { coreMs(it) shouldBeInRange 0L..Long.MAX_VALUE / 2 }
                        steps.sumOf { coreMs(it) } shouldBeInRange 0L..Long.MAX_VALUE / 2
                    }
                }
            }
        }

        describe("the configuration") {
            // Guards against an objective that overflows to a time in the past, by which every job of the queue would be refused.
            it("has finite, non-negative objectives, whatever the document says") {
                checkAll(CONFIG, oddDocuments(VALID_CONFIGURATION)) { bytes ->
                    decodeConfiguration(bytes)?.routes?.forEach { (_, _, queue) ->
                        (queue.stretch * 86_400_000).toLong() + queue.latencyTargetMs shouldBeInRange 0L..Long.MAX_VALUE / 1_000
                        (queue.maxAttempts >= 1) shouldBe true
                    }
                }
            }
        }
    })

private fun coreMs(step: JobStep): Long = step.count.toLong() * step.estimateMs * step.demand.cpuMilli
