/*
 * Measures the time and the allocated memory of selecting a worker. Run after mvn package:
 * java -cp target/test-classes:target/dandelionpoint.jar dandelionpoint.coordination.placement.PlacementBenchmarkKt
 */
package dandelionpoint.coordination.placement

import com.sun.management.ThreadMXBean
import dandelionpoint.protocol.worker.CallOutcome
import java.lang.management.ManagementFactory

private const val ROUNDS = 9
private const val PICKS = 200_000
private const val BUSY = 2_000

private class Round(val pickNs: Double, val completeNs: Double, val bytes: Double)

/** A VM that is the allocator of [workers] workers. Some slots are busy, so that the picks do not always select the same worker. */
private class PlacementBench(workers: Int) {
    private val placement = SlotLeasePlacement(PlacementSettings()) { 1_000 }
    private val demand = TaskDemand("class", 200)
    private val answered = CallOutcome.Answered("")
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val reservations = arrayOfNulls<Reservation>(minOf(BUSY, workers * 4))

    init {
        val self = VirtualCluster.identity(0)
        placement.updatePeers(self, setOf(self))
        placement.updateWorkers(VirtualCluster.workers(workers).map { it.first })
        repeat(4) {
            val placed = generateSequence { placement.place(demand) }.toList()
            placed.forEachIndexed { index, reservation -> placement.complete(reservation, answered, 100.0 + (index * 37) % 300) }
        }
        reservations.indices.forEach { reservations[it] = placement.place(demand) }
    }

    /** Each step completes the task of the oldest busy slot and picks another slot. Allocated bytes are counted for the picks only. */
    fun round(): Round {
        var pickNs = 0L
        var completeNs = 0L
        val id = Thread.currentThread().id
        var bytes = 0L
        repeat(PICKS) { step ->
            val slot = step % reservations.size
            val start = System.nanoTime()
            placement.complete(checkNotNull(reservations[slot]), answered, 100.0 + (step * 37) % 300)
            val middle = System.nanoTime()
            val before = threads.getThreadAllocatedBytes(id)
            val pickStart = System.nanoTime()
            reservations[slot] = placement.place(demand)
            pickNs += System.nanoTime() - pickStart
            bytes += threads.getThreadAllocatedBytes(id) - before
            completeNs += middle - start
        }
        return Round(pickNs.toDouble() / PICKS, completeNs.toDouble() / PICKS, bytes.toDouble() / PICKS)
    }
}

private fun spread(values: List<Double>) = values.sorted().let { "%.0f (%.0f-%.0f)".format(it[it.size / 2], it.first(), it.last()) }

/** Prints the median and, in brackets, the lowest and highest of the rounds; two rounds of warm-up are not counted. */
fun main() {
    println("%-8s %-20s %-20s %s".format("workers", "pick ns", "complete ns", "bytes a pick"))
    for (workers in listOf(32, 980, 9_800)) {
        val bench = PlacementBench(workers)
        repeat(2) { bench.round() }
        val rounds = List(ROUNDS) { bench.round() }
        println(
            "%-8d %-20s %-20s %s".format(
                workers,
                spread(rounds.map { it.pickNs }),
                spread(rounds.map { it.completeNs }),
                spread(rounds.map { it.bytes }),
            ),
        )
    }
}
