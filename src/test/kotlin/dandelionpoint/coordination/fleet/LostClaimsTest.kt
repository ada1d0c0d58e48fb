package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private const val CELL = "akl-a/07"
private val EARLIER = VmIdentity("earlier", "incarnation-earlier", "north", "akl-a", "127.0.0.1", 1)

/** A VM that owned [CELL] under the token 3 and has it again under [ownToken] if that is not null. */
private class FormerOwner(var ownToken: Long? = null) {
    val formers = FormerDispatchers()
    var openJobs = setOf("old", "new")
    private val claims = LostClaims({ ownToken }, { openJobs }, formers)

    init {
        claims.add(LostClaim(CELL, token = 3, openJobs = setOf("old")) { now -> if (now < 100) null else setOf("w") })
    }

    fun use(token: Long, now: Long = 100) = claims.use(CELL, token, now)
}

/**
 * Guards against a former owner that names too little as in use, so that a task is started again beside its run, and against one that
 * names what only a later owner uses, so that two former owners of one cell wait for each other.
 */
internal class LostClaimsTest :
    DescribeSpec({
        describe("what a former owner reports as in use") {
            it("is its jobs in progress and the workers with its runs") {
                FormerOwner().use(token = 5) shouldBe CellUse(CELL, 5, setOf("w"), setOf("old", "new"))
            }

            it("is not known while its runs are not") {
                FormerOwner().use(token = 5, now = 99).shouldBeNull()
            }

            it("is not known while it takes the cell for its own under an earlier claim than that of the new owner") {
                FormerOwner(ownToken = 4).use(token = 5).shouldBeNull()
            }

            // The VM that asks has lost the cell again, and jobs accepted since would keep the report from ever becoming empty.
            it("leaves out the jobs that it accepted after it had got the cell back") {
                FormerOwner(ownToken = 7).use(token = 5) shouldBe CellUse(CELL, 5, setOf("w"), setOf("old"))
            }

            it("contains what the owner before it uses, and is not known before that one has reported") {
                val vm = FormerOwner()
                vm.formers.gained(CELL, 3, EARLIER, now = 0)
                vm.use(token = 5).shouldBeNull()
                vm.formers.onReport(EARLIER, CellUse(CELL, 3, setOf("v"), setOf("older")), sentAt = 0)
                vm.use(token = 5) shouldBe CellUse(CELL, 5, setOf("v", "w"), setOf("old", "new", "older"))
            }

            // Two VMs that have handed the cell to each other would wait for each other's report.
            it("does not depend on a VM from which it got the cell back later") {
                val vm = FormerOwner(ownToken = 7)
                vm.formers.gained(CELL, 7, EARLIER, now = 0)
                vm.use(token = 5) shouldBe CellUse(CELL, 5, setOf("w"), setOf("old"))
            }
        }
    })
