/* What a VM learns from the end of a call to a worker. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.state.worker.RackGuard
import dandelionpoint.state.worker.WorkerRecord
import dandelionpoint.state.worker.WorkerTable

/** Frees the slot of a call and updates estimates, health and racks. */
internal class OutcomeRecorder(
    private val table: WorkerTable,
    private val estimates: RunTimeEstimates,
    private val settings: PlacementSettings,
    private val recalls: SlotRecalls = SlotRecalls(),
) {
    private val racks = RackGuard()

    fun record(reservation: Reservation, outcome: CallOutcome, elapsedMs: Double, nowMs: Long) {
        val expectedMs = estimates.expectedMs(reservation.taskClass, reservation.declaredMs)
        val ratio = if (estimates.isMeasured(reservation.taskClass)) elapsedMs / expectedMs else 1.0
        val rackEvent = table.withWorker(reservation.worker.id) { record ->
            release(record, nowMs)
            val event = learn(record, outcome, ratio, nowMs)
            noteOutcome(record, outcome)
            reindex(record, nowMs)
            if (record.busy == 0 && record.isUnlisted) remove(record)
            event
        }
        // A failed task may end early; its time says nothing about the class.
        if (outcome is CallOutcome.Answered) estimates.add(reservation.taskClass, elapsedMs)
        rackEvent?.let { applyRackEvent(it, nowMs) }
    }

    private fun release(record: WorkerRecord, nowMs: Long) {
        if (!record.isOwn && record.busy > record.granted) record.owed++
        record.vacate(nowMs)
        val allocator = record.allocator
        val isRecalled = !settings.keepsSlots || (allocator != null && recalls.take(allocator))
        if (!record.isOwn && isRecalled) record.recalled = minOf(record.granted, record.recalled + 1)
        record.recomputeOwn()
    }

    private fun noteOutcome(record: WorkerRecord, outcome: CallOutcome) {
        val hasRun = outcome !is CallOutcome.NotStarted || outcome.unreachable
        if (!record.isOwn && hasRun) record.unreportedOutcome = outcome is CallOutcome.Answered
    }

    private class RackEvent(val rackKey: String, val isAvoided: Boolean)

    private fun learn(record: WorkerRecord, outcome: CallOutcome, ratio: Double, nowMs: Long): RackEvent? = when (outcome) {
        is CallOutcome.Answered -> {
            record.health.succeed(ratio)
            answered(record)
        }

        is CallOutcome.Failed -> {
            record.health.fail(nowMs, unreachable = false)
            answered(record)
        }

        is CallOutcome.Unknown -> {
            record.health.fail(nowMs, unreachable = false)
            null
        }

        is CallOutcome.NotStarted -> notStarted(record, outcome, nowMs)
    }

    private fun answered(record: WorkerRecord): RackEvent? =
        if (racks.avoidedCount > 0 && racks.markAnswered(record.rackKey)) RackEvent(record.rackKey, isAvoided = false) else null

    /** A full worker (429) is healthy; an unreachable one is ejected at once. */
    private fun notStarted(record: WorkerRecord, outcome: CallOutcome.NotStarted, nowMs: Long): RackEvent? {
        if (!outcome.unreachable) return null
        record.health.fail(nowMs, unreachable = true)
        val isAvoided = racks.markUnreachable(record.rackKey, record.id, nowMs)
        return if (isAvoided) RackEvent(record.rackKey, isAvoided = true) else null
    }

    /** An avoided rack is ejected as a whole; the first answer of one of its workers ends the ejection of all. */
    private fun applyRackEvent(event: RackEvent, nowMs: Long) {
        table.forEach { record ->
            if (record.rackKey == event.rackKey) {
                if (!event.isAvoided) {
                    record.health.clearEjection()
                } else if (!record.health.isEjected(nowMs)) {
                    record.health.ejectHere(nowMs)
                }
                reindex(record, nowMs)
            }
        }
    }
}
