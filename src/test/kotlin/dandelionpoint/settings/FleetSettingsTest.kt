package dandelionpoint.settings

import arrow.core.Either
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Files
import java.nio.file.Path

private const val VALID = """{
  // a comment
  "name": "front-1", "region": "north", "dataCentre": "akl-a", "clients": "10.0.0.1:80", "readiness": "",
  "peers": "10.0.0.1:81", "seedPeers": "", "store": "10.0.0.9:90", "graceSeconds": 6.5,
}"""

private fun read(text: String) = SettingsReader.readFleet("fleet.json", text)

/**
 * Guards against a VM that starts with wrong settings because a fault in the file was overlooked, and against a template of the platform
 * with keys that the settings do not have.
 */
internal class FleetSettingsTest :
    DescribeSpec({
        describe("fleet settings") {
            it("take defaults, and may have no readiness listener and no seed peers") {
                val settings = read(VALID).shouldBeInstanceOf<Either.Right<FleetSettings>>().value
                settings.readiness.shouldBeNull()
                settings.seedPeers shouldBe emptyList()
                settings.leaseMs shouldBe FleetSettings.DEFAULT_LEASE_MS
                settings.graceSeconds shouldBe 6.5
            }

            it("report every fault of a file at once") {
                val text = VALID.replace(
                    "10.0.0.1:80",
                    "10.0.0.1",
                ).replace("\"akl-a\"", "7").replace("6.5", "0").replace("region", "regoin")
                val faults = read(text).shouldBeInstanceOf<Either.Left<*>>().value.toString()
                listOf("clients", "dataCentre", "graceSeconds", "regoin", "region").forEach { path -> faults.contains(path) shouldBe true }
            }

            // Guards against a VM that gets no work, or all of it, because its processor share was misread.
            it("give the processor share in thousandths of a core, one core if there is none, and refuse shares out of range") {
                fun withShare(share: String) = read(VALID.replace("\"graceSeconds\"", "$share, \"graceSeconds\""))
                read(VALID).shouldBeInstanceOf<Either.Right<FleetSettings>>().value.cpuMilli shouldBe 1_000
                val twoCores = withShare("\"cpuShare\": 0.75, \"cores\": 2")
                twoCores.shouldBeInstanceOf<Either.Right<FleetSettings>>().value.cpuMilli shouldBe 1_500
                listOf("\"cpuShare\": 0", "\"cpuShare\": 1.5", "\"cpuShare\": \"much\"", "\"cores\": 0", "\"cores\": 1.5").forEach {
                    withShare(it).shouldBeInstanceOf<Either.Left<*>>()
                }
            }

            // Guards against a VM that does not start because the platform has no penalty, or that runs with another penalty.
            it("take the rack penalty as a number and refuse others") {
                fun with(value: String) = read(VALID.replace("\"graceSeconds\"", "\"remotePenalty\": $value, \"graceSeconds\""))
                fun penalty(value: String) = with(value).shouldBeInstanceOf<Either.Right<FleetSettings>>().value.remotePenalty
                listOf("3", "3.0").map(::penalty) shouldBe List(2) { 3.0 }
                listOf("0.5", "11", "\"\"", "[2]", "\"{{bounds.remote_penalty}}\"").forEach {
                    with(it).shouldBeInstanceOf<Either.Left<*>>()
                }
            }

            it("take the rack penalty that the platform passes, and keep their own without one or with a value that is no penalty") {
                val settings = read(VALID).shouldBeInstanceOf<Either.Right<FleetSettings>>().value.copy(remotePenalty = 4.0)
                fun penalty(text: String?) = settings.withRemotePenalty(text).remotePenalty
                listOf("3", "1.5").map(::penalty) shouldBe listOf(3.0, 1.5)
                listOf(null, "", " ", "0.5", "11", "much", "NaN", "{{bounds.remote_penalty}}").forEach { penalty(it) shouldBe 4.0 }
            }

            // Guards against a template that is no valid file with the placeholders that the platform has always filled in.
            it("are valid from the platform's template") {
                val values = mapOf(
                    "node_name" to "front-1", "region" to "north", "zone" to "akl-a", "listen.front" to "10.0.0.1:80",
                    "listen.ready" to "10.0.0.1:81", "listen.control" to "10.0.0.1:82", "seeds" to "", "platform.address" to "10.0.0.9:90",
                    "bounds.max_hold_ms" to "1000", "bounds.grace_s" to "6", "limits.cpu_share" to "0.75", "limits.cores" to "1",
                )
                val template = Files.readString(Path.of("deploy/settings.template"))
                val text = Regex("\\{\\{([^}]*)}}").replace(template) { values.getValue(it.groupValues[1]) }
                read(text).shouldBeInstanceOf<Either.Right<FleetSettings>>()
            }

            // Guards against a VM that does not start because the platform writes its memory with a fraction.
            it("give the memory and the descriptors, those of the smallest VM if there are none") {
                fun with(members: String) = read(VALID.replace("\"graceSeconds\"", "$members, \"graceSeconds\""))
                val least = read(VALID).shouldBeInstanceOf<Either.Right<FleetSettings>>().value
                least.memoryMb shouldBe 160
                least.sockets shouldBe 2_012
                least.maxPeerConnections shouldBe 503
                val given = with("\"memoryMb\": 682.0, \"maxDescriptors\": 10250").shouldBeInstanceOf<Either.Right<FleetSettings>>().value
                given.memoryMb shouldBe 682
                given.maxPeerConnections shouldBe 512
                listOf("\"memoryMb\": 0", "\"maxDescriptors\": 200").forEach { with(it).shouldBeInstanceOf<Either.Left<*>>() }
            }

            it("have every key of the platform's template in the sample, and the sample is valid") {
                val keys = { path: String ->
                    Regex("\"([A-Za-z]+)\":").findAll(Files.readString(Path.of(path))).map { it.groupValues[1] }.toSet()
                }
                keys("samples/crema-fleet.json") shouldContainAll keys("deploy/settings.template")
                SettingsReader.readFleet(Path.of("samples/crema-fleet.json")).shouldBeInstanceOf<Either.Right<FleetSettings>>()
            }
        }
    })
