package dandelionpoint.settings

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.nio.file.Path

/**
 * Guards against a VM that starts with other settings than its operator wrote: a misspelt key, a value in the wrong unit, a repeated key or
 * values that contradict each other would otherwise be ignored or replaced by defaults. Also guards against samples that are not valid.
 */
class SettingsReaderTest :
    DescribeSpec({
        val required =
            """"name": "e1", "cluster": "c", "region": "r", "dataCentre": "d", "platform": "http://127.0.0.1:9000", "tokenFile": "t""""

        fun faults(extra: String): List<SettingsFault> =
            SettingsReader.readEntry("entry.json", "{ $required, $extra }").leftOrNull()?.toList().orEmpty()

        fun paths(extra: String) = faults(extra).map { it.path }

        describe("the samples") {
            it("are valid and show the default values") {
                val crema = SettingsReader.readEntry(Path.of("samples/crema-entry.json")).getOrNull()
                crema?.limits shouldBe Limits()
                crema?.ownership shouldBe OwnershipSettings()
                crema?.seedPeers?.size shouldBe 2
                SettingsReader.readEntry(Path.of("samples/corallo-entry.json")).getOrNull()?.limits?.drainMs shouldBe 60_000
            }
            it("have valid presets and quotas for both deployments") {
                listOf("crema", "corallo").forEach { name ->
                    val document = SettingsReader.readPresets(Path.of("samples/$name-presets.json")).getOrNull()
                    document?.presets?.keys shouldBe setOf("ordinary", "peak", "maintenance")
                    document?.presets?.get("maintenance")?.acceptNewJobs shouldBe false
                }
            }
        }

        describe("the check of a document") {
            it("reports an unknown key with the file, the path and the accepted keys, so that a misspelt key is not ignored") {
                val fault = faults(""""ownership": { "leaseSeconds": 6 }""").single()
                fault.path shouldBe "ownership.leaseSeconds"
                fault.toString() shouldContain "entry.json: ownership.leaseSeconds: unknown key, perhaps meant as 'leaseMs'"
                fault.accepted shouldContain "renewMs"
            }
            it("reports a value of a wrong unit or type with the expected unit and range") {
                faults(""""ownership": { "leaseMs": "6s" }""").single().toString() shouldContain
                    """ownership.leaseMs: "6s" is not a whole number; accepted: a whole number of milliseconds from 1000 to 60000"""
                faults(""""heartbeat": { "intervalMs": 0.25 }""").single().problem shouldBe "0.25 is not a whole number"
                faults(""""placement": 3""").single().accepted shouldContain "two-choices"
                faults(""""limits": 7""").single().problem shouldBe "7 is not an object"
                paths(""""seedPeers": [ { "host": "h" }, 5 ]""") shouldContainExactly listOf("seedPeers[0].port", "seedPeers[1]")
            }
            it("reports a value out of range, also if the number does not fit an Int") {
                paths(""""http": { "port": 70000 }, "limits": { "bodyBytes": 99999999999 }""") shouldContainExactly
                    listOf("http.port", "limits.bodyBytes")
            }
            // Guards against a StackOverflowError in the thread that reads a changed file or the body of an administration request.
            it("reports a document that is nested too deeply, also behind a comment with a quote") {
                listOf(
                    "[".repeat(30_000),
                    """{"a":""".repeat(30_000),
                    "/*\"*/" + "[".repeat(30_000),
                    "//\"\n" + "[".repeat(30_000),
                ).forEach {
                    val faults = SettingsReader.readEntry("entry.json", """{ $required, "x": $it }""").leftOrNull()?.toList().orEmpty()
                    faults.single().problem shouldBe "nested too deeply"
                }
            }
            it("reports values that contradict each other") {
                faults(""""ownership": { "leaseMs": 2000 }""").single().path shouldBe "ownership.renewMs"
                faults(""""heartbeat": { "suspectMs": 3000 }""").single().path shouldBe "heartbeat.deadMs"
                faults(""""peer": { "port": 8080 }""").single().path shouldBe "peer.port"
                faults(""""limits": { "payloadBytes": 5000, "bodyBytes": 4000 }""").single().path shouldBe "limits.payloadBytes"
                val presets = SettingsReader.readPresets("p.json", """{ "activePreset": "x", "presets": { "y": {} } }""")
                presets.leftOrNull()?.single()?.path shouldBe "activePreset"
            }
            it("reports a key that appears twice, of which the parser would keep only the last value") {
                val twice = paths(""""http": { "port": 1, /* "port": 2 */ "p\u006frt": 3 }, "rack": "a", // "rack"${"\n"} "rack": "b"""")
                twice shouldContainExactly listOf("http.port", "rack")
                paths(""""seedPeers": [ { "host": "\"" }, { "port": 1, "port": 2 } ]""") shouldContain "seedPeers[1].port"
            }
            it("reports all faults at once") {
                val found = SettingsReader.readEntry("entry.json", """{ "name": 5, "nmae": "x", "http": { "port": -1 } }""").leftOrNull()
                val paths = found?.map { it.path }.orEmpty()
                listOf("name", "nmae", "http.port", "cluster", "platform", "tokenFile").forEach { paths shouldContain it }
            }
            it("reports a syntax error, or a file that cannot be read, as one fault of the whole document") {
                SettingsReader.readEntry("entry.json", "{ ").leftOrNull()?.single()?.path shouldBe "$"
                val missing = SettingsReader.readEntry(Path.of("samples/none.json")).leftOrNull()
                missing?.single()?.problem.orEmpty() shouldContain "cannot be read"
            }
        }

        describe("a preset in a file") {
            it("is checked against the same ranges as a change of the configuration") {
                val text = """{ "presets": { "Peak": {}, "p": { "retryBudget": 0.9, "acceptNewJobs": "no" } }, "teams": { "t": {} } }"""
                val found = SettingsReader.readPresets("p.json", text).leftOrNull()?.map { it.path }.orEmpty()
                found shouldContainExactly listOf("presets.p.retryBudget", "presets.p.acceptNewJobs", "teams.t.weight", "presets.Peak")
            }
        }
    })
