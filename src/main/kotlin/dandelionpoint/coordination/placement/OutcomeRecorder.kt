/* Applies the outcomes of calls to workers. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.state.worker.RackFailureDetector
import dandelionpoint.state.worker.WorkerRecord
import dandelionpoint.state.worker.WorkerTable

/** Frees the slot of an ended call and updates the run time estimates, the health of the worker and the detection of rack failures. */
internal class OutcomeRecorder(
    private val table: WorkerTable,
    private val estimates: RunTimeEstimates,
    private val settings: PlacementSettings,
    private val recalls: SlotRecalls = SlotRecalls(),
) {
    private val rackFailures = RackFailureDetector()

    fun record(reservation: Reservation, outcome: CallOutcome, elapsedMs: Double, nowMs: Long) {
        val expectedMs = estimates.expectedMs(reservation.taskClass, reservation.declaredMs)
        val ratio = if (estimates.isMeasured(reservation.taskClass)) elapsedMs / expectedMs else 1.0
        val rackEvent = table.withWorker(reservation.worker.id) { record ->
            releaseSlot(record, nowMs)
            val event = updateHealth(record, outcome, ratio, nowMs)
            markUnreportedOutcome(record, outcome)
            reindex(record, nowMs)
            if (record.busy == 0 && record.isUnlisted) remove(record)
            event
        }
        // Only successes are samples: a failed task may end early, so its run time is not typical of its class.
        if (outcome is CallOutcome.Answered) estimates.add(reservation.taskClass, elapsedMs)
        rackEvent?.let { applyRackEvent(it, nowMs) }
    }

    private fun releaseSlot(record: WorkerRecord, nowMs: Long) {
        if (!record.isOwn && record.busy > record.granted) record.pendingReturn++
        record.vacate(nowMs)
        val allocator = record.allocator
        val isRecalled = !settings.keepsSlots || (allocator != null && recalls.tryClaim(allocator))
        if (!record.isOwn && isRecalled) record.recalled = minOf(record.granted, record.recalled + 1)
        record.recomputeOwn()
    }

    private fun markUnreportedOutcome(record: WorkerRecord, outcome: CallOutcome) {
        val hasRun = outcome !is CallOutcome.NotStarted || outcome.unreachable
        if (!record.isOwn && hasRun) record.unreportedOutcome = outcome is CallOutcome.Answered
    }

    private class RackEvent(val rackKey: String, val isAvoided: Boolean)

    private fun updateHealth(record: WorkerRecord, outcome: CallOutcome, ratio: Double, nowMs: Long): RackEvent? = when (outcome) {
        is CallOutcome.Answered -> {
            record.health.recordSuccess(ratio)
            recordRackAnswer(record)
        }

        is CallOutcome.Failed -> {
            record.health.recordFailure(nowMs, unreachable = false)
            recordRackAnswer(record)
        }

        is CallOutcome.Unknown -> {
            record.health.recordFailure(nowMs, unreachable = false)
            null
        }

        is CallOutcome.NotStarted -> onNotStarted(record, outcome, nowMs)
    }

    private fun recordRackAnswer(record: WorkerRecord): RackEvent? =
        if (rackFailures.avoidedCount > 0 && rackFailures.markAnswered(record.rackKey)) {
            RackEvent(record.rackKey, isAvoided = false)
        } else {
            null
        }

    /** A worker that refused the task because it is full (429) is healthy; an unreachable worker is ejected at once. */
    private fun onNotStarted(record: WorkerRecord, outcome: CallOutcome.NotStarted, nowMs: Long): RackEvent? {
        if (!outcome.unreachable) return null
        record.health.recordFailure(nowMs, unreachable = true)
        val isAvoided = rackFailures.markUnreachable(record.rackKey, record.id, nowMs)
        return if (isAvoided) RackEvent(record.rackKey, isAvoided = true) else null
    }

    /** Ejects all workers of a rack that is to be avoided. The first answer from one of its workers ends the ejection of all of them. */
    private fun applyRackEvent(event: RackEvent, nowMs: Long) {
        table.forEach { record ->
            if (record.rackKey == event.rackKey) {
                if (!event.isAvoided) {
                    record.health.clearEjection()
                } else if (!record.health.isEjected(nowMs)) {
                    record.health.ejectLocally(nowMs)
                }
                reindex(record, nowMs)
            }
        }
    }
}
