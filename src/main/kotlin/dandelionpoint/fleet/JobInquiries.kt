/*
 * Finds the VM that dispatches a job, for a client that cancels the job or asks for its state at any VM. A job belongs to a cell of the
 * data centre that it was submitted in. In the own data centre the cell's owner is asked; in each other one some VM, which names the owner
 * there. Invariant: a job is taken as cancelled only once the VM that dispatches it has ended it, and as unknown only if the VM in each
 * data centre that would dispatch it has said that it has no such job. The number of messages is limited; without a clear answer the client
 * may retry.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.DispatchRoute
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.InquiryAnswer
import dandelionpoint.protocol.peer.JobInquiry
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** The rest of the VM, as inquiries for jobs need it. */
internal interface InquiryHost {
    val self: VmIdentity

    /** The VM that dispatches a job of a client in this data centre. */
    fun routeOf(jobId: String): DispatchRoute

    /** The live VMs of other data centres, by data centre. */
    fun vmsElsewhere(): Collection<List<VmIdentity>>
}

/** Answers and makes the inquiries of the VM whose jobs are those of [runner] and [forwarder]. Times are in ms. */
internal class JobInquiries(
    private val runner: JobRunner,
    private val forwarder: JobForwarder,
    private val link: PeerLink,
    private val host: InquiryHost,
    private val clock: Clock = Clock.System,
) {
    private val inProgress = AtomicInteger()
    private val startedAt = clock.millis()

    /** When the last VM was lost in each data centre. */
    private val lostAt = ConcurrentHashMap<String, Long>()

    /** [vm] is lost; it may only be cut off, or may come back and accept jobs before it is heard again. */
    fun peerLost(vm: VmIdentity) {
        val now = clock.millis()
        lostAt.values.removeIf { now - it > LOST_KEPT_MS }
        lostAt[vm.dataCentre] = now
    }

    /** Answers a peer's inquiry, or one of this VM's own clients, by what this VM knows. */
    fun answer(inquiry: JobInquiry): InquiryAnswer {
        if (hasOrCancels(inquiry)) return InquiryAnswer(JobPresence.FOUND)
        return when (val route = host.routeOf(inquiry.jobId)) {
            // The job may have been accepted since, and a submission that is still on its way starts nothing after this.
            DispatchRoute.Here -> InquiryAnswer(if (dispatchesOrCancels(inquiry)) JobPresence.FOUND else JobPresence.NONE)

            is DispatchRoute.At -> InquiryAnswer(JobPresence.UNKNOWN, route.vm.takeIf { it != host.self })

            DispatchRoute.Undecided -> InquiryAnswer(JobPresence.UNKNOWN)
        }
    }

    private fun hasOrCancels(inquiry: JobInquiry) = runner.hasJob(inquiry.jobId) && dispatchesOrCancels(inquiry)

    private fun dispatchesOrCancels(inquiry: JobInquiry): Boolean =
        if (inquiry.isCancelled) runner.cancelJob(inquiry.jobId) else runner.hasJob(inquiry.jobId)

    /** Whether the job [jobId] is in progress anywhere. */
    suspend fun find(jobId: String): JobPresence = if (forwarder.has(jobId)) JobPresence.FOUND else limited { search(JobInquiry(jobId)) }

    /** Cancels the job [jobId] where it is dispatched. */
    suspend fun cancel(jobId: String): JobPresence {
        val inquiry = JobInquiry(jobId, isCancelled = true)
        val dispatchers = forwarder.dispatchersOf(jobId)
        if (dispatchers.isEmpty()) return limited { search(inquiry) }
        forwarder.cancel(jobId)
        val deadline = clock.millis() + OWN_SEARCH_MS
        val confirmations = dispatchers.map { dispatcher ->
            // Nothing of an attempt that has not been offered, or that is dispatched here, is left after its end here.
            if (dispatcher == null) runner.cancelJob(jobId).let { JobPresence.FOUND } else follow(inquiry, deadline) { dispatcher }
        }
        // The cancellation of the attempt may have ended the job before the inquiry arrived.
        return if (confirmations.any { it == JobPresence.UNKNOWN }) JobPresence.UNKNOWN else JobPresence.FOUND
    }

    private suspend fun limited(search: suspend () -> JobPresence): JobPresence = try {
        if (inProgress.incrementAndGet() > MAX_SEARCHES) JobPresence.UNKNOWN else search()
    } finally {
        inProgress.decrementAndGet()
    }

    /** Asks in this data centre first, and in the others only if the job is not there. */
    private suspend fun search(inquiry: JobInquiry): JobPresence {
        val here = follow(inquiry, clock.millis() + OWN_SEARCH_MS) { null }
        if (here == JobPresence.FOUND) return here
        val deadline = clock.millis() + FAR_SEARCH_MS
        val elsewhere = coroutineScope {
            host.vmsElsewhere().map { vms -> async { follow(inquiry, deadline) { vms[it % vms.size] } } }.awaitAll()
        }
        val all = elsewhere + here + if (mayMissDataCentre()) listOf(JobPresence.UNKNOWN) else emptyList()
        return when {
            JobPresence.FOUND in all -> JobPresence.FOUND
            JobPresence.UNKNOWN in all -> JobPresence.UNKNOWN
            else -> JobPresence.NONE
        }
    }

    /** True if there may be a VM in a data centre of which this VM knows none: it has just started, or has lost the last one lately. */
    private fun mayMissDataCentre(): Boolean {
        val now = clock.millis()
        val known = host.vmsElsewhere().mapTo(HashSet()) { it.first().dataCentre } + host.self.dataCentre
        return now - startedAt < START_MS || lostAt.any { (dataCentre, at) -> dataCentre !in known && now - at <= LOST_KEPT_MS }
    }

    /** Asks the VM that [first] returns for each try, from 0, and those that the answers name. A null stands for this VM. */
    private suspend fun follow(inquiry: JobInquiry, deadline: Long, first: (Int) -> VmIdentity?): JobPresence {
        repeat(MAX_TRIES) { number ->
            if (number > 0) delay(RETRY_MS)
            val presence = followRedirects(inquiry, deadline, first(number))
            if (presence != JobPresence.UNKNOWN) return presence
        }
        return JobPresence.UNKNOWN
    }

    private suspend fun followRedirects(inquiry: JobInquiry, deadline: Long, first: VmIdentity?): JobPresence {
        var asked = first
        repeat(MAX_HOPS) {
            val answer = if (clock.millis() < deadline) ask(asked, inquiry) else null
            val redirect = answer?.redirect
            if (answer == null || redirect == null) return answer?.presence ?: JobPresence.UNKNOWN
            asked = redirect
        }
        return JobPresence.UNKNOWN
    }

    private suspend fun ask(vm: VmIdentity?, inquiry: JobInquiry): InquiryAnswer? =
        if (vm == null || vm == host.self) answer(inquiry) else askPeer(vm, inquiry)

    private suspend fun askPeer(vm: VmIdentity, inquiry: JobInquiry): InquiryAnswer? =
        (link.call(vm, inquiry, CALL_MS) as? PeerReply.Answered)?.message as? InquiryAnswer

    private companion object {
        /** The most VMs that are asked in one try: the one asked first, the owner of the cell, and a former owner of it. */
        const val MAX_HOPS = 3

        /** The most tries in one data centre. */
        const val MAX_TRIES = 4

        /** Pause between two tries, in ms. */
        const val RETRY_MS = 60L

        /** Longest wait for the answer of one VM, in ms. */
        const val CALL_MS = 200L

        /** Longest search in this data centre, and after it in all others, in ms. A client waits for its answer up to 1,600 ms. */
        const val OWN_SEARCH_MS = 600L
        const val FAR_SEARCH_MS = 600L

        /** By then a VM that has started has heard of the VMs of all data centres, in ms. */
        const val START_MS = 2_500L

        /** How long a data centre without a live VM may still have jobs in progress, in ms. */
        const val LOST_KEPT_MS = 30_000L

        /** The most searches at once. */
        const val MAX_SEARCHES = 256
    }
}
