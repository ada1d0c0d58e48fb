/*
 * Decides whether this VM accepts work after a pause of its process. A VM starts work only if it knows that the sender still waits for it.
 * Requests that arrived during a pause lie in the sockets when the process resumes, and their senders may have given them up and sent the
 * job elsewhere. After a pause that is long enough for this, the VM refuses work for a recovery period, in which such requests are read,
 * and then closes the connections to its peers, so that what is still unread is discarded. Several pauses, each too short to be noticed,
 * add up for the peers if no heartbeat is sent between them, so that a long time between two heartbeats counts as a pause too.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.ElapsedTime
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.PauseDetector
import dandelionpoint.coordination.fleet.ProcessPause
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.millis

/** What a VM does when its process has been paused. Called with the lock of [WorkAdmission] held. */
internal interface PauseListener {
    /** The process was paused; [isLost] is true if the peers may have declared this VM lost. */
    fun paused(pause: ProcessPause, isLost: Boolean)

    /** The recovery period after a pause is over: the connections to the peers have to be closed before work is accepted again. */
    fun recovered()
}

/**
 * Whether this VM accepts work. Each question observes the clocks first, so that a pause is handled before any work that was read after it.
 * [tick] is called at the interval of the tick loop.
 */
internal class WorkAdmission(
    private val detector: PauseDetector,
    private val listener: PauseListener,
    private val clock: Clock,
    rules: FleetRules,
) {
    /** Peers count from the last heartbeat that they received, which this VM sent up to one interval before the pause. */
    private val peerLimitMs = rules.peerUnresponsiveMs - HeartbeatSender.MAX_INTERVAL_MS
    private var recoveryEndsAt: Long? = null
    private var refusesClients = false
    private var acceptsSince = Long.MIN_VALUE

    /** Time since the last heartbeats to the peers, null before the first ones. */
    private var sinceHeartbeat: ElapsedTime? = null
    private val silenceLimitMs = rules.peerUnresponsiveMs - DELIVERY_MS

    /** Heartbeats are now sent to the peers. */
    @Synchronized
    fun onHeartbeat() {
        check()
        sinceHeartbeat = ElapsedTime(clock)
    }

    /** Handles a pause that has not been handled yet. */
    @Synchronized
    fun check() {
        val silence = silence()
        val pause = detector.observe() ?: silence ?: return
        val isLost = pause.maxMs > peerLimitMs || silence != null
        if (isLost) {
            recoveryEndsAt = clock.millis() + RECOVERY_MS
            sinceHeartbeat = null
        }
        if (pause.maxMs > CLIENT_LIMIT_MS) refusesClients = true
        listener.paused(pause, isLost)
    }

    /** The time without heartbeats to the peers, if it is so long that they may have declared this VM lost. */
    private fun silence(): ProcessPause? {
        val silentMs = sinceHeartbeat?.ms() ?: return null
        return if (silentMs > silenceLimitMs) ProcessPause(silentMs, monotonicMs = 0) else null
    }

    /** Handles a pause, and ends the recovery period when it is over. */
    @Synchronized
    fun tick() {
        check()
        val now = clock.millis()
        if (now < (recoveryEndsAt ?: return)) return
        listener.recovered()
        recoveryEndsAt = null
        refusesClients = false
        acceptsSince = now
    }

    /** The refusal of a client's submission, or null if it is accepted. */
    @Synchronized
    fun refuseClient(): JobOutcome? {
        check()
        return if (refusesClients) JobOutcome.NotRun("the VM process was paused", RECOVERY_MS) else null
    }

    /** True if a job is accepted that a peer's client submitted [ageMs] ago. An older one may have been ended by the pause. */
    @Synchronized
    fun acceptsOffer(ageMs: Long): Boolean = acceptsPeers() && clock.millis() - ageMs >= acceptsSince

    /** True if a peer's request for a remote run is accepted. */
    @Synchronized
    fun acceptsPeers(): Boolean {
        check()
        return recoveryEndsAt == null
    }

    companion object {
        /** Requests that arrived during a pause are read within this time after it, in ms. */
        const val RECOVERY_MS = 150L

        /** Longest time that a heartbeat usually takes to its receiver, in ms. */
        private const val DELIVERY_MS = 50L

        /** A client submits its job again this long after its connection broke or it got no answer, in ms. */
        private const val CLIENT_RETRY_DELAY_MS = 1_300L

        /** A job whose client has disconnected is ended within this time, in ms. */
        private const val CANCELLATION_MS = 200L

        /** After a shorter pause, the job of a client that has given up is ended before the client submits it again, in ms. */
        private const val CLIENT_LIMIT_MS = CLIENT_RETRY_DELAY_MS - CANCELLATION_MS
    }
}
