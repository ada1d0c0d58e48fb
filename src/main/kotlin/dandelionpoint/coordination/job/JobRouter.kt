/*
 * Routes submissions and calls to the VM that owns their shard. A forward whose reply is lost is repeated, also to a new owner: the
 * id makes that safe, since a resubmission of it starts nothing. If no owner is reached, the result code leaves the outcome open
 * instead of saying that the work has not run: another VM may have forwarded an earlier call with the same id.
 */
package dandelionpoint.coordination.job

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.coordination.ownership.ShardOwner
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.delay

/** Calls the VM that owns an id, this one or a peer. [ownerOf] returns the owner as this VM currently knows it. */
internal class JobRouter(
    private val local: LocalJobs,
    private val peers: PeerLink,
    private val clock: Clock,
    private val ownerOf: (SubmissionId) -> ShardOwner,
) {
    /** Submits a job to its owner and returns its view. */
    suspend fun submit(submission: JobSubmission, remainingMs: Int, hops: Int = 0, traceParent: String? = null): Either<Refusal, JobView> {
        refusalOf(submission)?.let { return it.left() }
        val deadlineMs = clock.millis() + remainingMs
        return route(submission.id, hops, minOf(deadlineMs, clock.millis() + routeLimitMs(hops))) { owner ->
            val leftMs = (deadlineMs - clock.millis()).toInt().coerceAtLeast(1)
            if (owner == null) {
                Step.of(local.submit(submission, leftMs, traceParent))
            } else {
                forward(owner, PeerMessage.ForwardSubmit(submission, leftMs, hops + 1, traceParent), FORWARD_TIMEOUT_MS)
            }
        }
    }

    /** Reads, waits for or cancels a job at its owner. */
    suspend fun call(call: JobCall): Either<Refusal, JobView> {
        val receivedMs = clock.millis()
        return route(call.id, call.hops, receivedMs + call.waitMs + routeLimitMs(call.hops)) { owner ->
            val waitMs = (call.waitMs - (clock.millis() - receivedMs)).toInt().coerceAtLeast(0)
            if (owner == null) {
                Step.of(local.call(call.copy(waitMs = waitMs)))
            } else {
                val message = PeerMessage.ForwardJobCall(call.id, call.team, waitMs, call.cancel, call.hops + 1, call.traceParent)
                forward(owner, message, waitMs + FORWARD_TIMEOUT_MS)
            }
        }
    }

    /** Repeats [attempt] at the current owner (null: this VM) until it returns an answer or [endMs] has passed. */
    private suspend fun route(id: SubmissionId, hops: Int, endMs: Long, attempt: suspend (VmIdentity?) -> Step): Either<Refusal, JobView> {
        var mayHaveArrived = false
        var redirect: VmIdentity? = null
        while (true) {
            val owner = redirect?.let { ShardOwner.Other(it) } ?: ownerOf(id)
            redirect = null
            val step = attemptAt(owner, hops, attempt)
            when (step) {
                is Step.Answer -> return step.answer
                is Step.Redirect -> redirect = step.vm
                is Step.Lost -> mayHaveArrived = true
                is Step.NotDelivered -> Unit
            }
            if (clock.millis() >= endMs) {
                return Refusal(if (mayHaveArrived) ResultCode.FORWARD_LOST else ResultCode.OWNER_UNREACHABLE).left()
            }
            if (step !is Step.Redirect) delay(RETRY_PAUSE_MS)
        }
    }

    private suspend fun attemptAt(owner: ShardOwner, hops: Int, attempt: suspend (VmIdentity?) -> Step): Step = when (owner) {
        is ShardOwner.Self -> attempt(null)
        is ShardOwner.Other -> if (hops < MAX_HOPS) attempt(owner.vm) else Step.NotDelivered
        is ShardOwner.None -> Step.NotDelivered
    }

    private fun routeLimitMs(hops: Int): Long = if (hops == 0) ROUTE_LIMIT_MS else FORWARDED_ROUTE_LIMIT_MS

    private suspend fun forward(owner: VmIdentity, message: PeerMessage, timeoutMs: Long): Step =
        when (val reply = peers.call(owner, message, timeoutMs)) {
            is PeerReply.Answered -> Step.of(reply.message)
            is PeerReply.NotSent -> Step.NotDelivered
            is PeerReply.Lost -> Step.Lost
        }

    /** Result of one attempt at an owner; [route] continues unless it is an [Answer]. */
    private sealed interface Step {
        class Answer(val answer: Either<Refusal, JobView>) : Step

        /** Call [vm] instead: it owns the id. */
        class Redirect(val vm: VmIdentity) : Step

        /** The call may have reached the owner, but there is no reply. */
        data object Lost : Step

        /** The call did not reach an owner. */
        data object NotDelivered : Step

        companion object {
            fun of(answer: LocalAnswer): Step = when (answer) {
                is LocalAnswer.Found -> Answer(answer.view.right())
                is LocalAnswer.Refused -> Answer(answer.refusal.left())
                is LocalAnswer.Redirect -> Redirect(answer.vm)
            }

            fun of(message: PeerMessage): Step {
                val reply = message as? PeerMessage.ForwardReply ?: return Lost
                reply.refusal?.let { return ofRefusal(it) }
                return reply.view?.let { Answer(it.right()) } ?: Lost
            }

            private fun ofRefusal(refusal: Refusal): Step = when (refusal.code) {
                ResultCode.OWNER_UNREACHABLE -> NotDelivered
                ResultCode.FORWARD_LOST -> Lost
                else -> Answer(refusal.left())
            }
        }
    }

    private companion object {
        /** Longest time to look for an owner: a takeover of a shard takes at most 7 s and one write. */
        const val ROUTE_LIMIT_MS = 9_000L

        /** The VM that forwarded a call repeats it, so the VM that receives it stops looking for an owner early. */
        const val FORWARDED_ROUTE_LIMIT_MS = 1_000L

        /** A reply to a forward takes a round trip and at most the time that a start waits for the renewal of the shard's lease. */
        const val FORWARD_TIMEOUT_MS = 2_500L
        const val RETRY_PAUSE_MS = 50L

        /** A call is forwarded at most this many times: to the owner of the shard, and from there to the previous owner. */
        const val MAX_HOPS = 2
    }
}
