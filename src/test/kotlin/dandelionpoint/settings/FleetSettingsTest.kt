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
