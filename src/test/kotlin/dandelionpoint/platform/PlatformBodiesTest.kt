package dandelionpoint.platform

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.TaskRef
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
    })
