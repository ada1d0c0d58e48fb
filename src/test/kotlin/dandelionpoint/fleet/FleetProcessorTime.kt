/*
 * Experiment: processor time of the VMs' loop threads in a fleet of 32 VMs and 245 workers of five data centres, all in one process. It
 * prints the time of the threads by name, first without jobs and then with jobs. Arguments: seconds without jobs, seconds with jobs, jobs
 * per second. It needs no connection to a platform.
 */
package dandelionpoint.fleet

import arrow.core.Either
import dandelionpoint.platform.areEqualButForCounter
import dandelionpoint.platform.decodeWorker
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.settings.FleetSettings
import dandelionpoint.settings.HostAndPort
import dandelionpoint.standin.fleet.MemoryRows
import dandelionpoint.standin.fleet.MemoryWorkers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.lang.management.ManagementFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.system.exitProcess

private const val LOOPBACK = "127.0.0.1"
private const val POOL = "pool"
private const val WORKERS_PER_DATA_CENTRE = 49
private const val HEARTBEAT_MS = 1_500L
private const val CONFIGURATION_KEY = "configuration"

/** Processor shares of the VMs of each data centre. */
private val SHARES = mapOf(
    "milano-a" to listOf(0.75, 0.75, 0.27, 0.27, 0.27, 0.27, 0.9, 0.9),
    "milano-b" to listOf(0.75, 0.75, 0.27, 0.27, 0.27, 0.27, 0.9),
    "torino-a" to listOf(0.75, 0.75, 0.27, 0.27, 0.9),
    "verona-a" to listOf(0.75, 0.75, 0.27, 0.27, 0.27, 0.9),
    "padova-a" to listOf(0.75, 0.75, 0.27, 0.27, 0.27, 0.9),
)

private val QUEUE = JobQueue(name = "lookups", pool = POOL, maxAttempts = 2, stretch = 1.6, latencyTargetMs = 60)

private val DOCUMENTS = object : DocumentReader {
    override fun worker(id: String, bytes: ByteArray): WorkerEntry? = decodeWorker(id, bytes)

    override fun isSameWorker(earlier: ByteArray, later: ByteArray) = areEqualButForCounter(earlier, later)

    override fun configuration(bytes: ByteArray) = FleetConfiguration(1, emptyList(), bytes.decodeToString())
}

private fun document(dataCentre: String, port: Int, counter: Int) = (
    """{"address":"$LOOPBACK:$port","zone":"$dataCentre","service":"$POOL","state":"ready","slots":8,"seq":$counter,""" +
        """"capacity":{"cpu":32000,"mem_mb":131072,"gpu":0},"labels":["rack-$port","a"],"born":1000}"""
    ).encodeToByteArray()

/** Answers reads of changes after at most a second, so that the stand-in does not wake every VM at each write. */
private class PolledRows(val memory: MemoryRows) : SharedRows by memory {
    override suspend fun changes(table: String, version: Long, waitMs: Long): Either<StoreError, RowChanges> {
        delay(minOf(waitMs, 1_000))
        return memory.changes(table, version, waitMs = 0)
    }
}

private class Site {
    val store = MemoryRows()
    val workers = MemoryWorkers(demandOf = { Demand(16_000, 64) }, runMs = { it.runMs() })
    private val tables = SharedTables(workers = "workers", operator = "operator", configurationKey = CONFIGURATION_KEY)
    private val ids = SHARES.keys.flatMap { dataCentre -> List(WORKERS_PER_DATA_CENTRE) { "$dataCentre-worker-$it" to dataCentre } }
    private var counter = 0

    init {
        beat()
        ids.forEach { (id, _) -> workers.add(checkNotNull(decodeWorker(id, checkNotNull(store.value(tables.workers, id))))) }
        store.put(tables.operator, CONFIGURATION_KEY, "1".encodeToByteArray())
    }

    fun beat() {
        counter++
        ids.forEachIndexed { index, (id, dataCentre) -> store.put(tables.workers, id, document(dataCentre, index + 1, counter)) }
    }

    fun vm(name: String, dataCentre: String, share: Double): FleetVm {
        val address = HostAndPort(LOOPBACK, 0)
        val settings = FleetSettings(
            name = name, region = "trial", dataCentre = dataCentre, clients = address, readiness = null, peers = address,
            seedPeers = emptyList(), store = HostAndPort(LOOPBACK, 1), cpuShare = share,
        )
        return FleetVm(
            settings,
            FleetPorts(PolledRows(store), tables, DOCUMENTS, workers, {
                true
            }),
            context = startEventLoopThread("fleet"),
        )
    }
}

private fun TaskRef.runMs(): Long = 60L + Math.floorMod(jobId.hashCode(), 200)

private fun processorSeconds(): Map<String, Double> {
    val threads = ManagementFactory.getThreadMXBean()
    return threads.allThreadIds.toList().mapNotNull { id ->
        threads.getThreadInfo(id)?.let { it.threadName.replace(Regex("[0-9]+"), "#") to threads.getThreadCpuTime(id) / 1e9 }
    }.groupBy({ it.first }, { it.second }).mapValues { it.value.sum() }
}

private fun printSince(label: String, before: Map<String, Double>) {
    println(label)
    processorSeconds().mapValues { it.value - (before[it.key] ?: 0.0) }.entries.sortedByDescending { it.value }.take(4)
        .forEach { println("  %-40s %.2f s".format(it.key, it.value)) }
}

fun main(args: Array<String>): Unit = runBlocking {
    val (idleSeconds, busySeconds, jobsPerSecond) = args.map { it.toInt() }
    val site = Site()
    val vms = SHARES.flatMap { (dataCentre, shares) ->
        shares.mapIndexed { index, share -> site.vm("$dataCentre-$index", dataCentre, share) }
    }
    vms.forEach { it.start() }
    val beats = launch {
        while (true) {
            delay(HEARTBEAT_MS)
            site.beat()
        }
    }
    delay(8_000)
    println("cells owned: ${vms.sumOf { it.ownedCells().size }}")
    val idle = processorSeconds()
    delay(idleSeconds * 1_000L)
    printSince("without jobs, $idleSeconds s:", idle)
    val busy = processorSeconds()
    val outcomes = ConcurrentHashMap<String, AtomicInteger>()
    val random = Random(7)
    repeat(busySeconds * 50) {
        repeat(jobsPerSecond / 50) {
            val id = "%016x".format(random.nextLong())
            val job = FleetJob(id, "payload", listOf(JobStep(random.nextInt(1, 8), Demand(16_000, 64), estimateMs = 150)))
            val vm = vms[random.nextInt(vms.size)]
            vm.scope.launch {
                val outcome: JobOutcome = vm.run(job, QUEUE, 1_500, CancellationSignal())
                outcomes.computeIfAbsent(outcome::class.simpleName.orEmpty()) { AtomicInteger() }.incrementAndGet()
            }
        }
        delay(20)
    }
    printSince("with $jobsPerSecond jobs/s, $busySeconds s:", busy)
    println("outcomes: $outcomes, starts: ${site.workers.starts().size}")
    beats.cancel()
    exitProcess(0)
}
