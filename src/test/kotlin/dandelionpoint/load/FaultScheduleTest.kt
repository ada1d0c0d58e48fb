package dandelionpoint.load

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.io.IOException

private class RecordingTarget : FaultTarget {
    val applied = mutableListOf<String>()

    override fun endProcess(name: String, isForced: Boolean) {
        applied += "end $name $isForced"
        if (name == "gone") throw IOException("no process")
    }

    override fun setWorkerFaults(id: String, faults: JsonObject) {
        applied += "worker $id $faults"
    }

    override fun setPlatformFaults(faults: JsonObject) {
        applied += "platform $faults"
    }
}

/**
 * Guards against a replay whose faults are applied late or out of order, for example because the file is not sorted by time, or that
 * loses all later faults because one cannot be applied.
 */
class FaultScheduleTest :
    DescribeSpec({
        describe("a schedule of faults") {
            it("applies each fault at its time, in order, and continues after one that cannot be applied") {
                val text =
                    """
                    [{"atSeconds": 7, "platform": {"table": "REFUSE"}}, {"atSeconds": 2, "kill": "gone"},
                     {"atSeconds": 2.5, "worker": "worker-0003", "faults": {"failing": true}}, {"atSeconds": 9, "terminate": "entry-1"}]
                    """.trimIndent()
                val schedule = FaultSchedule(Json.decodeFromString(text))
                val target = RecordingTarget()
                schedule.run(target) { target.applied += "wait $it" }
                target.applied shouldBe
                    listOf(
                        "wait 2000",
                        "end gone true",
                        "wait 500",
                        """worker worker-0003 {"failing":true}""",
                        "wait 4500",
                        """platform {"table":"REFUSE"}""",
                        "wait 2000",
                        "end entry-1 false",
                    )
                schedule.processes shouldBe setOf("gone", "entry-1")
            }

            it("is rejected if a fault has no target or more than one") {
                shouldThrow<IllegalArgumentException> { FaultSchedule(listOf(ScheduledFault(1.0))) }
                shouldThrow<IllegalArgumentException> { FaultSchedule(listOf(ScheduledFault(1.0, kill = "a", worker = "b"))) }
            }
        }
    })
