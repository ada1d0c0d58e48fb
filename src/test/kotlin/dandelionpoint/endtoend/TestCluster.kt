/* A small cluster of real processes: one platform, one upstream and three entry VMs on free loopback ports. */
package dandelionpoint.endtoend

import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.VmState
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/** An entry VM of the cluster and the ports from its ready line. */
internal class TestVm(val name: String, val process: ChildProcess, ready: JsonObject) {
    val peerPort = ready.port("peer")
    val url = "http://127.0.0.1:${ready.port("http")}"
}

private fun JsonObject.port(key: String): Int = getValue(key).jsonPrimitive.int

/** Starts and ends the processes; [close] kills those that this instance started, and no others. */
internal class TestCluster : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("end-to-end")
    private val children = mutableListOf<ChildProcess>()
    private var startedVms = 0
    val client = TestHttpClient()

    /** The entry VMs that are expected to serve. */
    val vms = mutableListOf<TestVm>()
    lateinit var platformUrl: String
        private set
    lateinit var upstreamUrl: String
        private set

    suspend fun start() {
        Files.writeString(directory.resolve("tokens"), "${TestHttpClient.OPERATOR_TOKEN} operator\n")
        platformUrl = "http://127.0.0.1:${startChild("platform", listOf("platform", "--port", "0")).awaitReadyLine().port("port")}"
        val upstream = startChild("upstream", listOf("upstream", "--platform", platformUrl) + UPSTREAM_OPTIONS)
        upstreamUrl = "http://127.0.0.1:${upstream.awaitReadyLine().port("controlPort")}"
    }

    /** Ends all faults and replaces the entry VMs that have exited, so that each scenario begins with a complete cluster. */
    suspend fun restore() {
        platformFaults("{}")
        WORKERS.forEach { workerFaults(it, "{}") }
        vms.forEach { it.process.resume() }
        vms.removeAll { !it.process.isAlive }
        while (vms.size < VM_COUNT) addVm()
        awaitServing()
    }

    /** Starts another entry VM, which connects to all running ones, and waits until it prints its ports. */
    suspend fun addVm(): TestVm {
        val name = "vm-${++startedVms}"
        val seeds = vms.joinToString { """{"host":"127.0.0.1","port":${it.peerPort}}""" }
        val file = directory.resolve("$name.json")
        Files.writeString(file, settings(name, seeds))
        val process = startChild(name, listOf("entry", file.toString()))
        return TestVm(name, process, process.awaitReadyLine()).also { vms += it }
    }

    /** Waits until every VM is ready, every shard has an owner and all VMs reach each other. */
    suspend fun awaitServing() = eventually(30.seconds) {
        vms.forEach { client.get("${it.url}/health/ready").status shouldBe 200 }
        vms.sumOf { gauge(it, "dandelionpoint_shards_owned") } shouldBe SHARD_COUNT
        vms.forEach { gauge(it, "dandelionpoint_peers_reachable") shouldBe vms.size - 1 }
    }

    /** Reads a gauge of [vm]; 0 if it cannot be read. */
    suspend fun gauge(vm: TestVm, name: String): Int = client.get("${vm.url}/metrics").body.lineSequence()
        .firstOrNull { it.startsWith(name) }?.substringAfterLast(' ')?.toDouble()?.toInt() ?: 0

    /** Sets the platform's fault switches; `{}` ends all faults. */
    suspend fun platformFaults(faults: String) {
        check(client.post("$platformUrl/faults", faults).isOk) { "the platform did not accept the fault switches" }
    }

    /** Sets a worker's fault switches; `{}` ends all faults. */
    suspend fun workerFaults(worker: String, faults: String) {
        check(client.post("$upstreamUrl/workers/$worker/faults", faults).isOk) { "the upstream did not accept the fault switches" }
    }

    /** Number of starts of each of [keys], as the upstream recorded them. */
    suspend fun startsOf(keys: List<String>): Map<String, Int> {
        val reply = client.post("$upstreamUrl/starts/query", TestHttpClient.JSON.encodeToString(keys))
        return TestHttpClient.JSON.decodeFromString(reply.body)
    }

    /** Waits until the platform's list of VMs, which is updated with a delay, shows [worker] as leaving. */
    suspend fun awaitListedAsLeaving(worker: String) = eventually(10.seconds) {
        val vms: List<VmEntry> = TestHttpClient.JSON.decodeFromString(client.get("$platformUrl/vms").body)
        vms.single { it.id == worker }.state shouldBe VmState.LEAVING
    }

    override fun close() {
        children.forEach { it.close() }
        client.close()
        directory.toFile().deleteRecursively()
    }

    private fun settings(name: String, seeds: String) =
        """
        {"name":"$name","cluster":"end-to-end","region":"aotearoa-north","dataCentre":"akl-a",
         "http":{"host":"127.0.0.1","port":0},"peer":{"host":"127.0.0.1","port":0},"seedPeers":[$seeds],
         "platform":"$platformUrl","tokenFile":"${directory.resolve("tokens")}"}
        """.trimIndent()

    private fun startChild(name: String, arguments: List<String>) = ChildProcess.start(directory, name, arguments).also { children += it }

    companion object {
        /** Ids of the workers. */
        val WORKERS = List(8) { "worker-%04d".format(it) }
        private const val VM_COUNT = 3
        private const val SHARD_COUNT = 16

        /** Equal speeds, so that run times are known; two racks, so that half of the workers remain when one rack is avoided. */
        private val UPSTREAM_OPTIONS = "--workers 8 --slots 8 --data-centres akl-a --rack-size 4 --slowest-speed 1 --fastest-speed 1".split(
            " ",
        )
    }
}
