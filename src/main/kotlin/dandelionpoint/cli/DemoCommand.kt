/* A demonstration in one process: both stand-ins, two entry VMs, a job of 1,200 tasks and one request. */
package dandelionpoint.cli

import arrow.core.getOrElse
import dandelionpoint.entry.EntryPorts
import dandelionpoint.entry.EntryVm
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.RequestSubmission
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.TaskSpec
import dandelionpoint.settings.Address
import dandelionpoint.settings.EntrySettings
import dandelionpoint.standin.store.PlatformStandIn
import dandelionpoint.standin.store.PlatformStandInSettings
import dandelionpoint.standin.upstream.UpstreamStandIn
import dandelionpoint.standin.upstream.UpstreamStandInSettings
import dandelionpoint.transport.http.TokenFile
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import picocli.CommandLine.Command
import java.io.IOException
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Runs the demonstration. The exit code is 0 if the job has all its results, its resubmission returns the same ones, and every task and
 * the request started exactly once.
 */
@Command(
    name = "demo",
    description = ["Starts both stand-ins and two entry VMs in this process and runs a sample job and a request."],
    mixinStandardHelpOptions = true,
)
internal class DemoCommand : Callable<Int> {
    private val http = OkHttpClient.Builder().readTimeout(READ_TIMEOUT_S, TimeUnit.SECONDS).build()

    override fun call(): Int {
        val platform = PlatformStandIn(PlatformStandInSettings()).start()
        val upstream = UpstreamStandIn(UpstreamStandInSettings(platformUrl = platform.baseUrl)).start()
        val vms = ArrayList<EntryVm>()
        return try {
            val ports = runBlocking { startVms(platform.baseUrl, vms) }
            if (run(ports, upstream)) ExitCode.OK else ExitCode.REFUSED
        } finally {
            vms.forEach { it.close() }
            upstream.close()
            platform.close()
        }
    }

    private suspend fun startVms(platformUrl: String, vms: MutableList<EntryVm>): List<EntryPorts> {
        val first = EntryVm(settings("demo-1", platformUrl), tokens()).also { vms.add(it) }
        val firstPorts = first.start()
        val seed = Address("127.0.0.1", firstPorts.peer)
        val second = EntryVm(settings("demo-2", platformUrl).copy(seedPeers = listOf(seed)), tokens()).also { vms.add(it) }
        return listOf(firstPorts, second.start()).also { awaitReady(it) }
    }

    private fun settings(name: String, platformUrl: String) = EntrySettings(
        name = name,
        cluster = "demo",
        region = "aotearoa-north",
        dataCentre = "akl-a",
        http = Address("127.0.0.1", 0),
        peer = Address("127.0.0.1", 0),
        platform = platformUrl,
        tokenFile = "",
    )

    private fun tokens() = TokenFile.parse("demo", "$TOKEN operator").getOrElse { error("the demo token is invalid: $it") }

    private suspend fun awaitReady(ports: List<EntryPorts>) {
        val isReady = { port: Int ->
            runCatching {
                http.newCall(Request.Builder().url("http://127.0.0.1:$port/health/ready").build()).execute().use { it.isSuccessful }
            }
        }
        repeat(READY_ATTEMPTS) {
            if (ports.all { isReady(it.http).getOrDefault(false) }) return
            delay(READY_POLL_INTERVAL_MS)
        }
        throw IOException("the entry VMs are not ready after $READY_ATTEMPTS checks")
    }

    private fun run(ports: List<EntryPorts>, upstream: UpstreamStandIn): Boolean {
        val submission = sampleJob()
        val startNs = System.nanoTime()
        val job = submit(ports[0], submission)
        val jobMs = elapsedMs(startNs)
        val resubmitted = submit(ports[1], submission)
        val request = RequestSubmission(team = TEAM, payload = payload("request", REQUEST_MS), idempotent = true)
        val answer = post(ports[1], "/v1/requests", Json.encodeToString(request))
        val starts = upstream.starts()
        println("job ${job.id}: ${job.state}, ${job.results?.size ?: 0} of ${job.tasks} results in $jobMs ms")
        println("  first result: ${job.results?.first()}")
        println("  submitted again through the other VM: ${resubmitted.state}, same answer: ${resubmitted.results == job.results}")
        println("request: $answer")
        println("starts at the workers: ${starts.total}, of which duplicate: ${starts.duplicates}")
        return job.results?.size == TASKS && resubmitted.results == job.results && starts.total == TASKS + 1L && starts.duplicates == 0L
    }

    private fun sampleJob(): JobSubmission {
        val random = Random(System.nanoTime())
        val id = SubmissionId.create(System.currentTimeMillis(), random.nextLong(), random.nextLong())
        val tasks = List(TASKS) { TaskSpec(payload("$id/$it", TASK_MS), declaredMs = TASK_MS) }
        return JobSubmission(id = id, team = TEAM, tasks = tasks)
    }

    private fun payload(key: String, ms: Int) = """{"key":"$key","ms":$ms}"""

    private fun submit(ports: EntryPorts, submission: JobSubmission): JobView =
        Json.decodeFromString(post(ports, "/v1/jobs?waitMs=$WAIT_MS", Json.encodeToString(submission)))

    private fun post(ports: EntryPorts, path: String, body: String): String {
        val request = Request.Builder()
            .url("http://127.0.0.1:${ports.http}$path")
            .header("Authorization", "Bearer $TOKEN")
            .post(body.toRequestBody("application/json".toMediaType()))
            .build()
        return http.newCall(request).execute().use { response ->
            if (!response.isSuccessful) throw IOException("$path answered status ${response.code}: ${response.body.string()}")
            response.body.string()
        }
    }

    private fun elapsedMs(sinceNs: Long) = (System.nanoTime() - sinceNs) / NANOS_PER_MS

    private companion object {
        const val TOKEN = "demonstration-token-0001"
        const val TEAM = "default"
        const val TASKS = 1_200
        const val TASK_MS = 100
        const val REQUEST_MS = 80
        const val WAIT_MS = 30_000
        const val READ_TIMEOUT_S = 60L
        const val READY_ATTEMPTS = 150
        const val READY_POLL_INTERVAL_MS = 100L
        const val NANOS_PER_MS = 1_000_000L
    }
}
