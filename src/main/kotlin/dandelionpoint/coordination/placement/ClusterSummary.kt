/* Summaries of the worker table: capacity, held slots and the worker list for operators. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.SlotHolding
import dandelionpoint.state.worker.WorkerRecord
import dandelionpoint.state.worker.WorkerTable

/** Summarizes [table]. The sums over all workers are cached for [SUMS_VALID_MS], since admission reads them for each submission. */
internal class ClusterSummary(private val table: WorkerTable, private val clock: () -> Long) {
    private class Sums(val computedMs: Long, val usableSlots: Int, val speedSum: Double, val largestMemoryMb: Int)

    @Volatile
    private var sums: Sums? = null

    fun capacity(): Capacity {
        val nowMs = clock()
        val known = sums?.takeIf { nowMs < it.computedMs + SUMS_VALID_MS } ?: computeSums(nowMs).also { sums = it }
        return Capacity(known.usableSlots, known.speedSum, known.largestMemoryMb, table.freeSlots)
    }

    private fun computeSums(nowMs: Long): Sums {
        var usable = 0
        var speeds = 0.0
        var memory = 0
        table.forEach { record ->
            if (record.acceptsWork && !record.health.onProbation) {
                usable += record.entry.slots
                speeds += record.entry.slots * record.health.speed
                memory = maxOf(memory, record.entry.memoryMb)
            }
        }
        return Sums(nowMs, usable, speeds, memory)
    }

    fun holdings(): List<SlotHolding> {
        val holdings = ArrayList<SlotHolding>()
        table.forEach { if (it.held > 0) holdings.add(SlotHolding(it.id, it.held, it.busy)) }
        return holdings
    }

    fun workers(): List<WorkerStatus> {
        val nowMs = clock()
        val statuses = ArrayList<WorkerStatus>()
        table.forEach { statuses.add(statusOf(it, nowMs)) }
        return statuses.sortedBy { it.id }
    }

    private fun statusOf(record: WorkerRecord, nowMs: Long) = WorkerStatus(
        id = record.id,
        dataCentre = record.entry.dataCentre,
        rack = record.entry.rack,
        slots = record.entry.slots,
        held = record.held,
        busy = record.busy,
        speed = record.health.speed,
        usableSlots = record.health.usableSlots,
        leaving = record.isLeaving,
        drained = record.drained,
        ejectedMs = maxOf(0, record.health.ejectedUntilMs - nowMs),
        allocator = record.allocator?.name,
    )

    private companion object {
        const val SUMS_VALID_MS = 50L
    }
}
