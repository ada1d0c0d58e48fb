/*
 * The team queues of one VM: admission, selection of the next task, cancellation and expiry. Shares apply to the whole cluster: the load
 * of each team on the other VMs comes from their heartbeats. Each team's queue has its own lock; no code here holds two of them.
 */
package dandelionpoint.coordination.admission

import arrow.core.Either
import arrow.core.right
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.TeamLoad
import dandelionpoint.state.queue.QueuedJob
import dandelionpoint.state.queue.QueuedTask
import dandelionpoint.state.queue.TeamQueue
import java.util.concurrent.ConcurrentHashMap

/** Team queues of one VM. Thread-safe. */
internal class TeamQueues(private val readSettings: () -> QueueSettings, private val clock: Clock) {
    constructor(settings: QueueSettings, clock: Clock) : this({ settings }, clock)

    /** Read at each use, since a preset can change them at any time. */
    private val settings: QueueSettings get() = readSettings()

    private class Team(val queue: TeamQueue) {
        @Volatile
        var weight: Double? = null

        @Volatile
        var peers = NO_LOAD

        /** Slots in the team's share of the cluster, as of the last heartbeat. */
        @Volatile
        var shareSlots = 0.0
    }

    private val teams = ConcurrentHashMap<String, Team>()
    private val queueOfJob = ConcurrentHashMap<SubmissionId, TeamQueue>()
    private val peerLoads = ConcurrentHashMap<String, Map<String, TeamLoad>>()

    private val speedCorrection = SpeedCorrection()

    @Volatile
    private var peerDemands = emptyList<TeamDemand>()

    @Volatile
    private var capacity = ClusterCapacity(slots = 0)

    /** Checks [job] and reserves queue space for it. A refusal means that nothing of the job ran. */
    fun admit(job: JobDemand, capacity: ClusterCapacity): Either<Refusal, Unit> {
        this.capacity = capacity
        val team = teams[job.job.team]
        val nowMs = clock.millis()
        checkCanEverRun(job, team?.weight, capacity, nowMs).onLeft { return Either.Left(it) }
        checkNotNull(team) { "a job of an unknown team passed the check" }
        return reserve(team, job, nowMs)
    }

    /** Queues an admitted job. Returns false, and queues nothing, if it was cancelled or has expired since its admission. */
    fun offer(job: QueuedJob): Boolean = teams[job.team]?.queue?.offer(job.id) ?: false

    /** Returns the task to start now, or null if none is queued. The task counts as running until [putBack] or [finished]. */
    fun next(): QueuedTask? {
        val skipped = HashSet<Team>(0)
        while (true) {
            val team = selectTeam(skipped) ?: return null
            val nowMs = clock.millis()
            team.queue.poll { job, slotMs -> canFinish(team, job, slotMs, nowMs) }?.let { return it }
            skipped.add(team)
        }
    }

    /** Puts [task] back at the front of its team's queue. Only for a task that is known not to have started, or that may run again. */
    fun putBack(task: QueuedTask) {
        teams[task.job.team]?.queue?.putBack(task)
    }

    /** Records that [task] was sent to a worker. */
    fun started(task: QueuedTask) {
        teams[task.job.team]?.queue?.started(task)
    }

    /** Records that [task] has ended, whatever its outcome, [elapsedMs] after its start. */
    fun finished(task: QueuedTask, elapsedMs: Double) {
        speedCorrection.record(elapsedMs, task.job.expectedTaskMs / capacity.meanSpeed)
        teams[task.job.team]?.queue?.finished(task)
    }

    /** Drops the queued tasks of [job] and returns their number; 0 if there are none or the job was cancelled before. */
    fun cancel(job: SubmissionId): Int = queueOfJob[job]?.cancel(job) ?: 0

    /** Removes and returns the queued jobs of which nothing started and that can no longer meet their deadline. */
    fun expireLate(): List<QueuedJob> {
        val nowMs = clock.millis()
        return teams.values.flatMap { team -> team.queue.removeLate { job, slotMs -> canFinish(team, job, slotMs, nowMs) } }
    }

    /**
     * Removes and returns the jobs with started tasks that can no longer meet their deadline; the caller fails them with DEADLINE_RUNNING.
     * Their queued tasks have been dropped, since a late job has no result.
     */
    fun abandonLate(): List<QueuedJob> = teams.values.flatMap { it.queue.removeAbandoned() }

    /** Number of tasks that are queued on this VM and not handed out. */
    fun waitingTasks(): Int = teams.values.sumOf { it.queue.waiting }

    /** Load of each team on this VM, for heartbeats. */
    fun loads(): Map<String, TeamLoad> {
        val nowMs = clock.millis()
        return teams.mapValues { (_, team) ->
            val rate = rateOf(team)
            team.shareSlots = rate / capacity.meanSpeed
            team.queue.load(nowMs, limit = MAX_ATTAINABLE_SHARES * rate)
        }.filterValues { it != NO_LOAD }
    }

    /** Applies the loads that a heartbeat of peer [vm] reports. */
    fun onPeerLoad(vm: String, loads: Map<String, TeamLoad>) {
        peerLoads[vm] = loads
        sumPeers()
    }

    /** Removes the loads of all peers but [vms]. A killed VM sends no goodbye, and its last load must not count forever. */
    fun retainPeers(vms: Set<String>) {
        if (peerLoads.keys.retainAll(vms)) sumPeers()
    }

    /** Removes the loads of peer [vm], which has left. */
    fun removePeer(vm: String) {
        peerLoads.remove(vm)
        sumPeers()
    }

    /**
     * Sets the weight of each team. A team without an entry, or with weight 0, gets no new work; its accepted work runs after that of the
     * other teams.
     */
    fun updateTeams(quotas: Map<String, Double>) {
        quotas.keys.forEach { name -> teams.computeIfAbsent(name) { Team(TeamQueue({ settings.tasksPerTeam }, queueOfJob)) } }
        teams.forEach { (name, team) -> team.weight = quotas[name] }
        sumPeers()
    }

    private fun sumPeers() {
        val loads = peerLoads.values.toList()
        peerDemands = loads.map { byTeam -> TeamDemand(weight = 1.0, slots = byTeam.values.sumOf { it.neededSlots }) }
        teams.forEach { (name, team) -> team.peers = loads.mapNotNull { it[name] }.fold(NO_LOAD) { sum, load -> sum + load } }
    }

    private fun selectTeam(skipped: Set<Team>): Team? = teams.values
        .filter { it.queue.waiting > 0 && it !in skipped }
        .minByOrNull { rank(it) }

    /**
     * Rank of [team] for the next slot; the lowest is served first. A team that has fewer slots on this VM than its work here needs comes
     * before the others, as long as it stays within its share of the cluster. The others are ordered by running tasks per unit of weight.
     */
    private fun rank(team: Team): Double {
        val own = team.queue.running
        val all = own + team.peers.running
        val needed = team.queue.neededSlots / capacity.meanSpeed
        return if (own < needed && all < team.shareSlots) own / needed else 1 + (all + HALF_A_TASK) / (team.weight ?: 0.0)
    }

    private fun canFinish(team: Team, job: QueuedJob, slotMs: Long, nowMs: Long): Boolean {
        val lengthMs = lengthMs(job.expectedTaskMs, slotMs, rateOf(team))
        return nowMs + minOf(settings.safety, 1.0) * lengthMs <= job.deadlineMs
    }

    private fun reserve(team: Team, demand: JobDemand, nowMs: Long): Either<Refusal, Unit> {
        val rate = rateOf(team)
        val safety = settings.safety * HEADROOM
        val ownLengthMs = safety * lengthMs(demand.longestTaskMs, demand.job.slotMs, rate)
        if (nowMs + ownLengthMs > demand.job.deadlineMs) return refuse(ResultCode.DEADLINE_UNREACHABLE)
        val slotsOfTeam = rate / safety - team.peers.neededSlots
        val slotsOfVm = slotsOfVm() / safety - neededByOthers(team)
        val reservation = team.queue.reserve(demand.job, nowMs, minOf(slotsOfTeam, slotsOfVm), limit = MAX_ATTAINABLE_SHARES * rate)
        return when (reservation) {
            TeamQueue.Reservation.MADE -> Unit.right()
            TeamQueue.Reservation.FULL -> refuse(ResultCode.QUEUE_FULL)
            TeamQueue.Reservation.LATE -> refuse(ResultCode.DEADLINE_UNREACHABLE)
        }
    }

    /** Slots of speed 1 for this VM if it can use any number and each other VM gets its need or an equal share, whichever is less. */
    private fun slotsOfVm(): Double = shareOf(1.0, peerDemands, capacity.speedSum * speedCorrection.factor)

    private fun neededByOthers(team: Team): Double = teams.values.sumOf { if (it === team) 0.0 else it.queue.neededSlots }

    /**
     * Slots of speed 1 for [team] if it can use any number and each other team gets what it can keep busy or its share, whichever is less.
     * Reads the other queues without their locks: this also runs under the lock of [team], and a second lock could cause a deadlock.
     */
    private fun rateOf(team: Team): Double {
        val others = teams.values.filter { it !== team }.map { other ->
            TeamDemand(
                weight = other.weight ?: 0.0,
                slots = (other.queue.running + other.queue.waiting + other.peers.running + other.peers.queued).toDouble(),
            )
        }
        return shareOf(team.weight ?: 0.0, others, capacity.speedSum * speedCorrection.factor)
    }

    private companion object {
        val NO_LOAD = TeamLoad(running = 0, queued = 0, queuedSlotMs = 0)

        /**
         * Factor on predicted finish times, in addition to [QueueSettings.safety]. Admitting up to the whole share leaves no margin for
         * load on other VMs that heartbeats have not reported yet. At twice the load, the lowest goodput in OverloadExperiment was 0.818
         * without this factor and 0.887 with it.
         */
        const val HEADROOM = 1.25

        /**
         * Work that would need more than this many times the team's share to meet its deadline is considered lost, and does not count
         * against the admission of other work.
         */
        const val MAX_ATTAINABLE_SHARES = 4.0

        /** Added before dividing by the weight: without it, teams with few slots get more than their share by rounding. */
        const val HALF_A_TASK = 0.5

        operator fun TeamLoad.plus(other: TeamLoad) = TeamLoad(
            running + other.running,
            queued + other.queued,
            queuedSlotMs + other.queuedSlotMs,
            neededSlots + other.neededSlots,
        )
    }
}
