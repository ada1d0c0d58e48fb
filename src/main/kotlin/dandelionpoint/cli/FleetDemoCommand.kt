package dandelionpoint.cli

import arrow.core.getOrElse
import dandelionpoint.fleet.FleetVm
import dandelionpoint.fleet.startEventLoopThread
import dandelionpoint.platform.PlatformClients
import dandelionpoint.platform.encodeJob
import dandelionpoint.platform.platformPorts
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.settings.FleetSettings
import dandelionpoint.settings.SettingsReader
import dandelionpoint.standin.fleet.InProcessFleet
import dandelionpoint.transport.http.CallThreads
import dandelionpoint.transport.http.HttpChannel
import dandelionpoint.transport.http.HttpChannelSettings
import dandelionpoint.transport.http.HttpOutcome
import dandelionpoint.transport.http.ListenAddress
import dandelionpoint.transport.http.OneShotBody
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import picocli.CommandLine.Command
import java.util.concurrent.Callable

/**
 * Runs a small fleet in this process and submits jobs to it. The deployment build also runs it, to record the classes that an entry VM
 * loads.
 */
@Command(
    name = "fleet-demo",
    description = ["Runs two entry VMs with stand-ins of store and workers, and submits jobs to them."],
    mixinStandardHelpOptions = true,
)
internal class FleetDemoCommand : Callable<Int> {
    private val threads = CallThreads(maxCalls = 16)
    private val channel = HttpChannel(HttpChannelSettings(), threads)

    override fun call(): Int = runBlocking {
        val fleet = InProcessFleet()
        val vms = listOf("akl-a", "ham-a").map { fleet.vm(settings(it), context = startEventLoopThread("fleet")) }
        vms.forEach { it.start() }
        val clients = vms.map { PlatformClients(it, it.scope, ListenAddress(InProcessFleet.LOOPBACK, 0), readiness = null) }
        val ports = clients.map { it.start() }
        awaitReady(vms)
        val statuses = List(JOBS) { index -> submit(ports[index % ports.size], "%016x".format(index + 1)) }
        callUnreachableStore()
        println("jobs: ${statuses.size}, completed: ${statuses.count { it == OK }}, starts on workers: ${fleet.workers.starts().size}")
        vms.forEach { it.close() }
        clients.forEach { it.stop() }
        threads.close()
        if (statuses.all { it == OK }) ExitCode.OK else ExitCode.REFUSED
    }

    /** Reads settings as the command `fleet` does. */
    private fun settings(dataCentre: String): FleetSettings {
        val text = """
            // Any free ports of the loopback address.
            {"name": "demo-$dataCentre", "region": "demo", "dataCentre": "$dataCentre", "cpuShare": 0.75,
             "clients": "$ANY_PORT", "readiness": "", "peers": "$ANY_PORT", "seedPeers": "", "store": "$NO_STORE"}
        """
        return SettingsReader.readFleet("demo", text).getOrElse { faults -> error(faults.joinToString()) }
    }

    private suspend fun awaitReady(vms: List<FleetVm>) = withTimeoutOrNull(READY_TIMEOUT_MS) {
        while (!vms.all { vm -> vm.isReady && vm.ownedCells().isNotEmpty() }) delay(POLL_INTERVAL_MS)
    }

    private suspend fun submit(port: Int, id: String): Int {
        val job = FleetJob(id, payload = "demo", steps = listOf(JobStep(TASKS, Demand(cpuMilli = 1_000, memoryMb = 64), estimateMs = 60)))
        val request = Request
            .Builder()
            .url("http://${InProcessFleet.LOOPBACK}:$port${InProcessFleet.PREFIX}$id")
            .header("Host", InProcessFleet.HOST)
            .header("Deadline-Remaining-Ms", "3000")
            .post(OneShotBody(encodeJob(job), "application/json".toMediaType()))
        return (channel.send(request, REQUEST_TIMEOUT_MS) as? HttpOutcome.Answer)?.status ?: 0
    }

    /** Calls a store that does not exist, as a VM does that starts during an outage of the store. */
    private suspend fun callUnreachableStore() {
        platformPorts(NO_STORE).store.read("cells")
    }

    private companion object {
        const val ANY_PORT = "${InProcessFleet.LOOPBACK}:0"
        const val NO_STORE = "${InProcessFleet.LOOPBACK}:1"
        const val JOBS = 12
        const val TASKS = 4
        const val OK = 200
        const val POLL_INTERVAL_MS = 20L
        const val READY_TIMEOUT_MS = 10_000L
        const val REQUEST_TIMEOUT_MS = 5_000L
    }
}
