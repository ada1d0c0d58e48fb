package dandelionpoint.settings

import arrow.core.Either
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Files
import java.nio.file.Path

private const val WHOLE = """{
  // a comment
  "name": "front-1", "region": "north", "dataCentre": "akl-a", "clients": "10.0.0.1:80", "readiness": "",
  "peers": "10.0.0.1:81", "seedPeers": "", "store": "10.0.0.9:90", "graceSeconds": 6.5,
}"""

private fun read(text: String) = SettingsReader.readFleet("fleet.json", text)

internal class FleetSettingsTest :
    DescribeSpec({
        describe("fleet settings") {
            it("take defaults, an absent readiness listener and no seeds") {
                val settings = read(WHOLE).shouldBeInstanceOf<Either.Right<FleetSettings>>().value
                settings.readiness.shouldBeNull()
                settings.seedPeers shouldBe emptyList()
                settings.leaseMs shouldBe FleetSettings.DEFAULT_LEASE_MS
                settings.graceSeconds shouldBe 6.5
            }

            it("report every fault of a file at once") {
                val text = WHOLE.replace(
                    "10.0.0.1:80",
                    "10.0.0.1",
                ).replace("\"akl-a\"", "7").replace("6.5", "0").replace("region", "regoin")
                val faults = read(text).shouldBeInstanceOf<Either.Left<*>>().value.toString()
                listOf("clients", "dataCentre", "graceSeconds", "regoin", "region").forEach { path -> faults.contains(path) shouldBe true }
            }

            it("of the sample and of the platform's template have the same keys") {
                val keys = { path: String ->
                    Regex("\"([A-Za-z]+)\":").findAll(Files.readString(Path.of(path))).map { it.groupValues[1] }.toSet()
                }
                keys("samples/crema-fleet.json") shouldContainAll keys("deploy/settings.template")
                SettingsReader.readFleet(Path.of("samples/crema-fleet.json")).shouldBeInstanceOf<Either.Right<FleetSettings>>()
            }
        }
    })
