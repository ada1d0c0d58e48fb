/*
 * Scenarios of the configuration: two operators change the same version at the same time, and a VM starts while the platform is
 * unavailable. They guard against two winners of one version, a VM that shows an older configuration after a newer one, and a VM
 * that cannot obtain the configuration from its peers.
 */
package dandelionpoint.endtoend

import dandelionpoint.protocol.ResultCode
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.describeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.seconds

private const val READS_AFTER_CHANGE = 20
private const val READ_INTERVAL_MS = 100L

@Serializable
private data class ConfigurationView(val version: Long, val activePreset: String)

private suspend fun TestCluster.configuration(vm: TestVm): ConfigurationView = client.get("${vm.url}/v1/config").let { reply ->
    check(reply.isOk) { "${vm.name} did not return its configuration: $reply" }
    TestHttpClient.JSON.decodeFromString(reply.body)
}

private suspend fun TestCluster.createPreset(name: String) {
    val version = TestHttpClient.JSON.decodeFromString<ConfigurationView>(client.get("${vms[0].url}/v1/config?fresh=true").body).version
    val reply = client.put("${vms[0].url}/v1/presets/$name", """{"expectedVersion":$version}""")
    check(reply.isOk) { "the preset could not be created: $reply" }
}

internal fun configurationScenarios(cluster: TestCluster) = describeSpec {
    describe("two operators who activate different presets on the same version at the same time") {
        it("get one win and one VERSION_CONFLICT, and every VM shows the winner within 13 s and nothing older after it") {
            val names = listOf("peak", "evening")
            names.forEach { cluster.createPreset(it) }
            val base = cluster.configuration(cluster.vms[0]).version
            eventually(13.seconds) { cluster.vms.forEach { cluster.configuration(it).version shouldBe base } }
            val replies = names.withIndex().mapConcurrently { (index, name) ->
                name to cluster.client.post("${cluster.vms[index + 1].url}/v1/presets/$name/activate", """{"expectedVersion":$base}""")
            }
            withClue(replies) {
                val (won, lost) = replies.partition { (_, reply) -> reply.isOk }
                won shouldHaveSize 1
                TestHttpClient.refusalCode(lost.single().second) shouldBe ResultCode.VERSION_CONFLICT
                val winner = ConfigurationView(base + 1, won.single().first)
                eventually(13.seconds) { cluster.vms.forEach { cluster.configuration(it) shouldBe winner } }
                repeat(READS_AFTER_CHANGE) {
                    cluster.vms.forEach { cluster.configuration(it) shouldBe winner }
                    delay(READ_INTERVAL_MS)
                }
            }
        }
    }

    describe("a VM that starts while the platform is out") {
        it("takes the configuration in force from its peers") {
            val currentConfiguration = cluster.configuration(cluster.vms[0])
            cluster.platformFaults("""{"table":"REFUSE","objects":"REFUSE","lists":"REFUSE"}""")
            val added = cluster.addVm()
            eventually(13.seconds) { cluster.configuration(added) shouldBe currentConfiguration }
            added.process.kill()
        }
    }
}
