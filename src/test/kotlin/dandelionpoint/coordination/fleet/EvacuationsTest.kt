/*
 * Guards against a VM that goes on starting runs in an evacuated data centre, or that starts none any more after the evacuation has ended:
 * because it takes an older state of the store for a later one, or misses a deletion. VMs read the rows late, lose the store, restart, and
 * exchange heartbeats that arrive in any order.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.EvacuatedDataCentres
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val SEED = 20_261_206L
private const val ROUNDS = 400
private val NAMES = listOf("akl-a", "ham-a", "tga-a")

private fun present(name: String, version: Long) = EvacuationRow(name, isPresent = true, version)

private fun deleted(name: String, version: Long) = EvacuationRow(name, isPresent = false, version)

private fun known(version: Long, vararg names: String) = EvacuatedDataCentres(version, names.toSet())

private fun evacuations(version: Long, vararg names: String) = Evacuations().apply { onTableRead(names.toSet(), version) }

/** The store's rows, with the evacuated data centres after each version. */
private class VersionedRows(private val random: Random) {
    private val states = mutableListOf<Set<String>>(emptySet())
    private val changedAt = HashMap<String, Long>()

    val version: Long get() = states.lastIndex.toLong()
    val present: Set<String> get() = states.last()

    fun at(version: Long): Set<String> = states[version.toInt()]

    /** Another row of the store changes, or one that evacuates a data centre is written or deleted. */
    fun change(evacuationShare: Double) {
        if (random.nextDouble() >= evacuationShare) {
            states += present
            return
        }
        val name = NAMES.random(random)
        states += if (name in present) present - name else present + name
        changedAt[name] = version
    }

    /** The last change of each row that has changed after [after]. */
    fun changesAfter(after: Long): List<EvacuationRow> =
        changedAt.filterValues { it > after }.map { (name, version) -> EvacuationRow(name, name in present, version) }
}

/** A VM that reads [rows] while it [hasStore]. */
private class ReadingVm(private val rows: VersionedRows) {
    var evacuations = Evacuations()
        private set
    var hasStore = true
    private var readUpTo: Long? = null
    private var delivered: (() -> Unit)? = null
    private var highest = 0L

    /** Asks the store for what it has now; the answer arrives with the next [receive]. */
    fun askStore(isHistoryGone: Boolean) {
        if (!hasStore || delivered != null) return
        val after = readUpTo?.takeIf { !isHistoryGone }
        val (names, version) = rows.present to rows.version
        val changes = after?.let { rows.changesAfter(it) }
        delivered = {
            if (changes == null) evacuations.onTableRead(names, version) else evacuations.onRowsChanged(changes)
            readUpTo = version
        }
    }

    fun receive() {
        delivered?.invoke()
        delivered = null
    }

    fun restart() {
        evacuations = Evacuations()
        readUpTo = null
        delivered = null
        highest = 0
    }

    /** What is wrong with the state of this VM, null if nothing is. */
    fun fault(): String? {
        val state = evacuations.announced() ?: return "evacuated without being announced".takeIf { evacuations.dataCentres.isNotEmpty() }
        val isOlder = state.version < highest
        highest = state.version
        return when {
            isOlder -> "went back to version ${state.version}"

            state.names != rows.at(
                state.version,
            ) -> "${state.names} at version ${state.version}, but the store had ${rows.at(state.version)}"

            else -> null
        }
    }
}

/** VMs that exchange heartbeats, some of which are late by many steps. [evacuationShare] of the store's changes are of evacuations. */
private class ReadingFleet(seed: Long, private val evacuationShare: Double) {
    private val random = Random(seed)
    private val rows = VersionedRows(random)
    private val vms = List(VMS) { ReadingVm(rows) }
    private val heartbeats = mutableListOf<Pair<ReadingVm, EvacuatedDataCentres?>>()
    val faults = mutableListOf<String>()
    var announcements = 0
        private set

    fun simulate() = repeat(STEPS) {
        if (random.nextDouble() < CHANGE_SHARE) rows.change(evacuationShare)
        val vm = vms.random(random)
        when (random.nextInt(ACTIONS)) {
            0 -> vm.askStore(isHistoryGone = random.nextDouble() < HISTORY_GONE_SHARE)
            1 -> vm.receive()
            2 -> if (random.nextDouble() < FAULT_SHARE) vm.restart()
            3 -> if (random.nextDouble() < FAULT_SHARE) vm.hasStore = !vm.hasStore
            4, 5 -> send(vm, vms.random(random))
            else -> if (heartbeats.isNotEmpty()) deliver(heartbeats.removeAt(random.nextInt(heartbeats.size)))
        }
        vms.mapNotNullTo(faults) { it.fault() }
    }

    /**
     * After one VM has read the store, and all have heard of each other, each knows what the store has. The second round is needed if that
     * VM has known of no evacuation before the others told it of an earlier one.
     */
    fun settle() {
        vms.first().hasStore = true
        repeat(2) {
            vms.first().askStore(isHistoryGone = false)
            vms.first().receive()
        }
        repeat(2) {
            vms.forEach { from -> vms.forEach { to -> send(from, to) } }
            heartbeats.shuffled(random).forEach { deliver(it) }
            heartbeats.clear()
        }
        vms.forEach {
            if (it.evacuations.dataCentres !=
                rows.present
            ) {
                faults += "at the end ${it.evacuations.dataCentres}, not ${rows.present}"
            }
        }
    }

    private fun send(from: ReadingVm, to: ReadingVm) {
        val announced = from.evacuations.announced()
        if (announced != null) announcements++
        if (from !== to && from.evacuations.isKnown) heartbeats += to to announced
    }

    private fun deliver(heartbeat: Pair<ReadingVm, EvacuatedDataCentres?>) {
        heartbeat.first.evacuations.onPeer(heartbeat.second)
    }

    private companion object {
        const val VMS = 4
        const val STEPS = 600
        const val ACTIONS = 8
        const val CHANGE_SHARE = 0.3
        const val HISTORY_GONE_SHARE = 0.2
        const val FAULT_SHARE = 0.2
    }
}

internal class EvacuationsTest :
    DescribeSpec({
        describe("the rows") {
            it("evacuate their data centres from when they are read until they are deleted, and again when they reappear") {
                val evacuations = evacuations(10, "akl-a")
                evacuations.dataCentres shouldBe setOf("akl-a")
                evacuations.onRowsChanged(listOf(deleted("akl-a", 12))) shouldBe EvacuationChange(emptySet(), setOf("akl-a"))
                evacuations.dataCentres.shouldBeEmpty()
                evacuations.onRowsChanged(listOf(present("akl-a", 13))) shouldBe EvacuationChange(setOf("akl-a"), emptySet())
                evacuations.dataCentres shouldBe setOf("akl-a")
            }

            it("that a full read after the loss of the history does not show were deleted") {
                val evacuations = evacuations(10, "akl-a", "ham-a")
                evacuations.onTableRead(setOf("ham-a"), 20) shouldBe EvacuationChange(emptySet(), setOf("akl-a"))
            }

            it("have no effect if a peer has told of a later state before") {
                val evacuations = evacuations(10)
                evacuations.onPeer(known(15))
                evacuations.onRowsChanged(listOf(present("akl-a", 14))).shouldBeNull()
                evacuations.onTableRead(setOf("akl-a"), 14).shouldBeNull()
                evacuations.dataCentres.shouldBeEmpty()
            }
        }

        describe("a peer") {
            it("that knows an older state changes nothing") {
                val evacuations = evacuations(10)
                evacuations.onPeer(known(9, "akl-a")).shouldBeNull()
                evacuations.dataCentres.shouldBeEmpty()
            }

            it("that knows a newer one is followed, be it an evacuation or its end") {
                val evacuations = Evacuations()
                evacuations.onPeer(known(9, "akl-a")) shouldBe EvacuationChange(setOf("akl-a"), emptySet())
                evacuations.onPeer(known(11)) shouldBe EvacuationChange(emptySet(), setOf("akl-a"))
            }

            // Without this, the peer would never learn of the deletion: its store is away, and this VM has never seen the row.
            it("that knows an older evacuation is told that it has ended") {
                val evacuations = evacuations(10)
                evacuations.announced().shouldBeNull()
                evacuations.onPeer(known(9, "akl-a"))
                evacuations.announced() shouldBe known(10)
            }
        }

        describe("a VM that has restarted") {
            it("knows the evacuations once it has read the rows or heard a peer that knows them") {
                Evacuations().isKnown shouldBe false
                evacuations(1).isKnown shouldBe true
                Evacuations().apply { onPeer(peers = null) }.isKnown shouldBe true
            }
        }

        describe("heartbeats") {
            it("contain nothing while there has been no evacuation") {
                checkAll(PropTestConfig(seed = SEED, iterations = ROUNDS / 4), Arb.long()) { seed ->
                    ReadingFleet(seed, evacuationShare = 0.0).apply { simulate() }.announcements shouldBe 0
                }
            }

            it("name a limited number of data centres") {
                val names = List(1_000) { "data-centre-$it" }
                evacuations(10, *names.toTypedArray()).announced()?.names?.size shouldBe 32
            }
        }

        describe("rows, losses of the store, restarts and heartbeats in any order") {
            it("never give a VM a state that the store has not had, nor an older one after a newer one, and end in what the store has") {
                var announcements = 0
                checkAll(PropTestConfig(seed = SEED, iterations = ROUNDS), Arb.long()) { seed ->
                    val fleet = ReadingFleet(seed, evacuationShare = 0.3)
                    fleet.simulate()
                    fleet.settle()
                    withClue("seed $seed") { fleet.faults.shouldBeEmpty() }
                    announcements += fleet.announcements
                }
                announcements shouldBeGreaterThan ROUNDS
            }
        }
    })
