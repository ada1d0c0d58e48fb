package dandelionpoint.platform

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobStep
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe

private fun count(text: String) = jsonShape(text.encodeToByteArray()).values

/** Guards against a body of legal size whose tree takes many times its size, and against an ordinary job that counts as a large one. */
internal class JobMemoryTest :
    DescribeSpec({
        describe("the number of values in a body") {
            it("is counted without its strings, escaped quotes included") {
                val payload = ",[{".repeat(1_000)
                count("""{"spec":"$payload\"$payload","steps":[]}""") shouldBe 4
            }

            it("is at least that of its arrays, members and numbers") {
                count("[" + "0,".repeat(5_000) + "0]") shouldBeGreaterThan 5_000
                count("{" + List(5_000) { "\"%x\":0".format(it) }.joinToString(",") + "}") shouldBeGreaterThan 5_000
                count("[],".repeat(5_000)) shouldBeGreaterThan 5_000
            }

            it("is not counted in an ordinary body, and a text that ends within a string is counted to its end") {
                count("[0,0]") shouldBe 0
                count("\"" + "x".repeat(2_000) + "\\") shouldBe 1
            }
        }

        describe("the depth of a body") {
            it("is that of its deepest value, and strings do not count") {
                jsonShape(("[" + "[[]],".repeat(1_000) + "\"${"[".repeat(100)}\"]").encodeToByteArray()).depth shouldBe 3
                jsonShape("[".repeat(2_000).encodeToByteArray()).depth shouldBe 2_000
            }
        }

        describe("the memory of a job") {
            it("is that of a small request for an ordinary job, and grows with its tasks, steps and dependencies") {
                val step = JobStep(8, Demand(16_000), estimateMs = 60)
                val ordinary = jobBytes(FleetJob("1", "x".repeat(200), listOf(step)))
                ordinary shouldBeLessThan 8_192
                jobBytes(FleetJob("1", "", listOf(step.copy(count = 1_200)))) shouldBeGreaterThan 400_000
                jobBytes(FleetJob("1", "", List(1_000) { step.copy(count = 1) })) shouldBeGreaterThan 400_000
                jobBytes(FleetJob("1", "", listOf(step, step.copy(after = List(100_000) { 0 })))) shouldBeGreaterThan 2_000_000
            }
        }
    })
