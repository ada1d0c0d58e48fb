package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.standin.fleet.InProcessFleet
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.seconds

private const val OWN = "akl-a"
private val OWN_CELLS = Cells.of(OWN)
private val ODD_ZONES = List(24) { "odd zone/%02d".format(it) }

/** Time until a trial connection to a worker that does not answer is given up, in ms. */
private const val CONNECT_TIMEOUT_MS = 200L

/** Another VM may take over a cell whose claim was not renewed for this long, in ms. */
private const val CLAIM_STALE_MS = 1_300L
private const val OBSERVED_MS = 6_000L
private const val SAMPLE_MS = 20L

/** Interval of the claim loop, in ms, and how many of its steps a test makes. */
private const val STEP_MS = 150L
private const val STEPS = 400

private fun workerIn(dataCentre: String) = WorkerEntry("w", "p", "127.0.0.1", 1, dataCentre, isDraining = false, Demand(1_000, 64))

/** The longest time in which the claim of the first own cell was not renewed, in ms, observed for [OBSERVED_MS]. */
private suspend fun InProcessFleet.longestPauseOfRenewals(): Long {
    val key = OWN_CELLS.first()
    var last = store.value("cells", key)
    var since = System.nanoTime()
    var longest = 0L
    val end = since + OBSERVED_MS * 1_000_000
    while (System.nanoTime() < end) {
        delay(SAMPLE_MS)
        val value = store.value("cells", key)
        if (!value.contentEquals(last)) {
            last = value
            since = System.nanoTime()
        }
        longest = maxOf(longest, (System.nanoTime() - since) / 1_000_000)
    }
    return longest
}

private suspend fun withVm(fleet: InProcessFleet, test: suspend (FleetVm) -> Unit) {
    val vm = fleet.vm("a", OWN)
    try {
        vm.start()
        eventually(20.seconds) { vm.ownedCells() shouldContainAll OWN_CELLS }
        test(vm)
    } finally {
        vm.close()
    }
}

/** Guards against registrations of workers in data centres without VMs, real or not, that keep a VM from its own work. */
internal class UnservedDataCentresTest :
    DescribeSpec({
        describe("workers by the dozen that are registered in unknown data centres") {
            it("and that cannot be reached do not delay the renewal of the claims of a VM") {
                val fleet = InProcessFleet(listOf(OWN) + ODD_ZONES, workersPerDataCentre = 1, canConnect = { worker ->
                    delay(CONNECT_TIMEOUT_MS)
                    worker.dataCentre == OWN
                })
                withVm(fleet) { fleet.longestPauseOfRenewals() shouldBeLessThan CLAIM_STALE_MS }
            }

            it("and that can be reached do not make a VM own more cells than it can renew") {
                val fleet = InProcessFleet(listOf(OWN) + ODD_ZONES, workersPerDataCentre = 1)
                withVm(fleet) { vm ->
                    fleet.longestPauseOfRenewals() shouldBeLessThan CLAIM_STALE_MS
                    vm.ownedCells().size shouldBeLessThanOrEqual (1 + UnservedDataCentres.MAX_DATA_CENTRES) * Cells.PARTS
                }
            }
        }

        describe("data centres without VMs") {
            it("are limited in number to those with cells of this VM and those with the most workers") {
                runTest {
                    val unserved = UnservedDataCentres(backgroundScope, { emptyList() }, { true }, SchedulerClock(this))
                    val counts = ODD_ZONES.associateWith { 1 } + mapOf("lost" to 9, "owned" to 1)
                    unserved.claimable(counts, owned = setOf("owned", OWN)) shouldBe setOf("owned", "lost", ODD_ZONES[0], ODD_ZONES[1])
                }
            }

            // Guards against a claim at each step for as long as the store refuses it, because the name is no valid key for example.
            it("whose workers are reached may be claimed once for each trial") {
                runTest {
                    val unserved = UnservedDataCentres(backgroundScope, { listOf(workerIn("lost")) }, { true }, SchedulerClock(this))
                    val claims = (1..STEPS).count {
                        delay(STEP_MS)
                        unserved.hasJustReached("lost")
                    }
                    claims shouldBeLessThanOrEqual (STEPS * STEP_MS / UnservedDataCentres.TRIAL_INTERVAL_MS).toInt() + 1
                    claims shouldBeGreaterThan 1
                }
            }

            it("whose workers accept no connections are tried at intervals, one trial at a time") {
                runTest {
                    var trials = 0
                    var open = 0
                    var mostOpen = 0
                    val unserved = UnservedDataCentres(backgroundScope, { List(9) { workerIn("odd") } }, {
                        trials++
                        mostOpen = maxOf(mostOpen, ++open)
                        delay(4 * UnservedDataCentres.TRIAL_INTERVAL_MS)
                        open--
                        error("no route to host")
                    }, SchedulerClock(this))
                    repeat(STEPS) {
                        delay(STEP_MS)
                        unserved.hasJustReached("odd") shouldBe false
                    }
                    trials shouldBeGreaterThan 1
                    mostOpen shouldBe 1
                }
            }
        }
    })
