package dandelionpoint.platform

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll

private const val WORKER =
    """{"service":"p","address":"10.0.0.9:8080","zone":"akl-a","state":"ready","capacity":{"cpu":16000,"mem_mb":512},
    "labels":["a","r1-3"],"born":17}"""

/** A run list whose rows have all members, one of them with a fraction. */
private const val BUSY_RUN_LIST =
    """{"clock_ms":482113,"born":1764945600000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,6800],["00ab.0.0.1",1,"0b",100,0.5]],""" +
        """"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"failed",""],[59,"00ab.0.0.2",2,"lapsed","00"]]}"""

private val LEASE_MEMBERS = listOf("fencing_token", "last_seen", "deadline_ms", "wait_ms")

private fun worker(text: String) = decodeWorker("i-1", text.encodeToByteArray())

private fun job(text: String) = decodeJob("0000000000000001", text.encodeToByteArray())

/**
 * Guards against documents of other writers that stop a VM or are misread: workers without a usable address or capacity, a configuration
 * without a version, and jobs that run in another way than they ask for because an unsupported member is ignored.
 */
internal class PlatformBodiesTest :
    DescribeSpec({
        describe("a worker's entry") {
            it("is decoded with its incarnation and labels") {
                val entry = worker(WORKER).shouldNotBeNull()
                entry.capacity shouldBe Demand(16_000, 512)
                entry.labels shouldBe setOf("a", "r1-3")
                entry.startedAtMs shouldBe 17
                entry.isDraining shouldBe false
            }

            it("that is malformed, incomplete or in an unknown state is ignored") {
                worker("not json").shouldBeNull()
                worker("[]").shouldBeNull()
                worker(WORKER.replace("\"ready\"", "\"resting\"")).shouldBeNull()
                worker(WORKER.replace("\"10.0.0.9:8080\"", "17")).shouldBeNull()
                worker(WORKER.replace("{\"cpu\":16000,\"mem_mb\":512}", "\"much\"")).shouldBeNull()
            }
        }

        describe("the configuration") {
            it("routes by host and longest prefix") {
                val routes = """{"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/","service":"p"},
                    {"name":"r2","host":"h","path_prefix":"/a/b/","service":"p"},{"name":3}]}"""
                val configuration = decodeConfiguration(routes.encodeToByteArray()).shouldNotBeNull()
                configuration.route("h", "/a/b/x")?.queue?.name shouldBe "r2"
                configuration.route("h", "/a/x")?.queue?.name shouldBe "r1"
                configuration.route("other", "/a/x").shouldBeNull()
            }

            it("without a version is rejected") {
                decodeConfiguration("""{"routes":[]}""".encodeToByteArray()).shouldBeNull()
            }
        }

        describe("a submission") {
            it("that is best effort is accepted") {
                job("""{"spec":"s","best_effort":true,"steps":[{"count":2,"cpu":500,"est_runtime_ms":60}]}""")
                    .shouldBeInstanceOf<SubmittedBody.BestEffort>().job.steps.single().count shouldBe 2
            }

            it("decodes to the job that was encoded, whatever its steps") {
                val step = Arb.bind(Arb.int(1..1_200), Arb.int(0..64_000), Arb.long(0L..100_000L), Arb.int(0..4)) {
                        count,
                        cpu,
                        estimate,
                        limit,
                    ->
                    JobStep(count, Demand(cpu, 64), estimate, requiredLabel = "r1-$limit", maxPerWorker = limit)
                }
                checkAll(PropTestConfig(seed = 17), Arb.list(step, 1..4), Arb.string(0..200)) { steps, payload ->
                    val job = FleetJob("0000000000000001", payload, steps)
                    decodeJob(job.id, encodeJob(job)) shouldBe SubmittedBody.BestEffort(job)
                }
            }

            it("with a step that waits for itself is refused at once as malformed") {
                job("""{"best_effort":true,"steps":[{"count":1,"after":[0]}]}""").shouldBeInstanceOf<SubmittedBody.Malformed>()
            }

            it("that needs an unsupported feature is refused, not run without it") {
                job("""{"steps":[{"count":1}]}""").shouldBeInstanceOf<SubmittedBody.Unsupported>()
                job("""{"best_effort":true,"steps":[{"count":1,"gang":true}]}""").shouldBeInstanceOf<SubmittedBody.Unsupported>()
            }

            it("that cannot be read is malformed") {
                job("{").shouldBeInstanceOf<SubmittedBody.Malformed>()
                job("""{"best_effort":true,"steps":[7]}""").shouldBeInstanceOf<SubmittedBody.Malformed>()
            }
        }

        describe("a task's name") {
            it("decodes to the task that was encoded") {
                val task = TaskRef("00ab", 1, 17)
                decodeTask(task.wireName()) shouldBe task
                decodeTask("00ab.0.x.1").shouldBeNull()
            }
        }

        describe("a run list") {
            it("in the usual form is read without a tree of values") {
                listOf(VALID_RUN_LIST, BUSY_RUN_LIST, """{"clock_ms":1,"running":[],"ended":[]}""").forEach { text ->
                    val bytes = text.encodeToByteArray()
                    RunListReader(bytes).read().shouldNotBeNull() shouldBe decodeAnyRunList(bytes)
                }
            }

            // Guards against a list that is misread because it is not quite in the usual form.
            it("that was changed at random is read as by the reader of any form, or left to that") {
                listOf(VALID_RUN_LIST, BUSY_RUN_LIST).forEach { list ->
                    checkAll(PropTestConfig(seed = 41, iterations = 3_000), oddDocuments(list)) { bytes ->
                        RunListReader(bytes).read()?.let { it shouldBe decodeAnyRunList(bytes) }
                    }
                }
            }
        }

        describe("a call to a worker") {
            // Guards against a payload that breaks the body of a start order.
            it("contains what was ordered, whatever the payload") {
                checkAll(PropTestConfig(seed = 43), Arb.string(0..200), Arb.long(0L..Long.MAX_VALUE)) { payload, number ->
                    val order = StartOrder(TaskRun(TaskRef("00ab", 1, 17), 3), payload, leaseUntilMs = number, token = 7, startedAtMs = 1)
                    val body = parseObject(encodeStart(order).encodeToByteArray()).shouldNotBeNull()
                    body.text("task") shouldBe "00ab.0.1.17"
                    body.text("spec") shouldBe payload
                    listOf("run", "deadline_ms", "fencing_token").map { body.long(it) } shouldBe listOf(3, number, 7)
                }
            }

            it("names the run to stop, or the lease and the ends that were seen") {
                val stop = parseObject(encodeStop(TaskRun(TaskRef("00ab", 1, 17), 3), token = 7).encodeToByteArray()).shouldNotBeNull()
                stop.text("task") shouldBe "00ab.0.1.17"
                listOf("run", "fencing_token").map { stop.long(it) } shouldBe listOf(3, 7)
                val call = parseObject(encodeLease(LeaseCall(7, 57, 486_000, 250)).encodeToByteArray()).shouldNotBeNull()
                LEASE_MEMBERS.map { call.long(it) } shouldBe listOf(7, 57, 486_000, 250)
                val poll = parseObject(encodeLease(LeaseCall(7, 57, null, 0)).encodeToByteArray()).shouldNotBeNull()
                LEASE_MEMBERS.map { poll.long(it) } shouldBe listOf(7, 57, null, null)
            }
        }
    })
