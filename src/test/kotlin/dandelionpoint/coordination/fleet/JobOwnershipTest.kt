package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private const val DATA_CENTRE = "akl-a"
private const val JOB_ID = "0000000000000001"
private val CELL = Cells.ofJob(DATA_CENTRE, JOB_ID)
private val OWNER = VmIdentity("owner", "incarnation-owner", "north", DATA_CENTRE, "127.0.0.1", 1)
private val RIVAL = VmIdentity("rival", "incarnation-rival", "north", DATA_CENTRE, "127.0.0.1", 2)

private const val TOKEN = 5L

/** A report of the former owner of [CELL], which has [openJobs] in progress. */
private fun use(vararg openJobs: String) = CellUse(CELL, TOKEN, openJobs = openJobs.toSet())

private class VmUnderTest(var token: Long? = null, var successor: VmIdentity? = null) : CellView {
    val directory = CellDirectory()
    val formers = FormerDispatchers()
    var isStoreSilent = false
    private val ownership = JobOwnership(DATA_CENTRE, this, directory, formers)

    override fun ownToken(cell: String): Long? = token.takeIf { cell == CELL }

    override fun mayDispatchUnclaimed(cell: String) = isStoreSilent

    override fun successor(cell: String): VmIdentity? = successor

    fun route() = ownership.route(JOB_ID)
}

/** Guards against a job that two VMs dispatch at the same time, each of which runs all of its tasks. */
internal class JobOwnershipTest :
    DescribeSpec({
        describe("a job") {
            it("is dispatched by the owner of its cell, under the highest token if several VMs claim it") {
                val vm = VmUnderTest(token = 5)
                vm.route() shouldBe DispatchRoute.Here
                vm.directory.update(OWNER, mapOf(CELL to 4L))
                vm.route() shouldBe DispatchRoute.Here
                vm.directory.update(RIVAL, mapOf(CELL to 6L))
                vm.route() shouldBe DispatchRoute.At(RIVAL)
                vm.directory.remove(RIVAL)
                vm.route() shouldBe DispatchRoute.Here
            }

            // An owner that is only cut off, silent or paused dispatches, too.
            it("waits, while its cell has no known owner, at the VM that is to take the cell over") {
                VmUnderTest(successor = OWNER).route() shouldBe DispatchRoute.At(OWNER)
                VmUnderTest().route() shouldBe DispatchRoute.Undecided
                VmUnderTest(token = 5).route() shouldBe DispatchRoute.Here
            }

            // The jobs of a lost owner's cells would be refused for as long as the outage lasts.
            it("is dispatched by that VM while the store is out and nobody can claim the cell") {
                VmUnderTest().apply { isStoreSilent = true }.route() shouldBe DispatchRoute.Here
                VmUnderTest(successor = OWNER).apply { isStoreSilent = true }.route() shouldBe DispatchRoute.At(OWNER)
            }
        }

        describe("after a handover") {
            it("the new owner dispatches nothing before the former one has told which jobs it has in progress") {
                val vm = VmUnderTest(token = TOKEN)
                vm.formers.gained(CELL, TOKEN, OWNER, now = 0)
                vm.route() shouldBe DispatchRoute.Undecided
                vm.formers.onReport(OWNER, use(JOB_ID), sentAt = 1)
                vm.route() shouldBe DispatchRoute.At(OWNER)
                vm.formers.onReport(OWNER, use(), sentAt = 2)
                vm.route() shouldBe DispatchRoute.Here
            }

            it("a report of another VM than the former owner counts for nothing") {
                val vm = VmUnderTest(token = TOKEN)
                vm.formers.gained(CELL, TOKEN, OWNER, now = 0)
                vm.formers.onReport(RIVAL, use(), sentAt = 1)
                vm.route() shouldBe DispatchRoute.Undecided
                vm.formers.openJobs(CELL).shouldBeNull()
            }

            // Its sender may have owned the cell again since, and have further jobs and runs there.
            it("a report that may have been made before the cell was taken over counts for nothing, and is to be sent again") {
                val vm = VmUnderTest(token = TOKEN)
                vm.formers.gained(CELL, TOKEN, OWNER, now = 100)
                vm.formers.onReport(OWNER, use(), sentAt = 99) shouldBe ReportUse.TOO_OLD
                vm.route() shouldBe DispatchRoute.Undecided
                vm.formers.onReport(OWNER, use(), sentAt = 100) shouldBe ReportUse.APPLIED
                vm.route() shouldBe DispatchRoute.Here
            }

            it("the loss of the former owner ends the wait, since its jobs have ended with it") {
                val vm = VmUnderTest(token = TOKEN)
                vm.formers.gained(CELL, TOKEN, OWNER, now = 0)
                vm.formers.peerLost(OWNER)
                vm.route() shouldBe DispatchRoute.Here
            }
        }
    })
