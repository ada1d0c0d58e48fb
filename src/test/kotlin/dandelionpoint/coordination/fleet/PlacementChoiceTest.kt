/*
 * Guards against remote runs, which cost messages and processor time of two VMs, for runs that find free capacity at home, and against runs
 * on an own worker where they take much longer than on another VM's.
 */
package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun own(expectedMs: Long, isInRack: Boolean = true) = CandidateWorker("own", expectedMs, leftMilli = 0, isInRack)

private fun offer(expectedMs: Long, isInRack: Boolean = true) = RemoteOffer("other", expectedMs, isInRack)

internal class PlacementChoiceTest :
    DescribeSpec({
        val rules = PlacementRules()

        it("other VMs are not looked at for a run that an own worker ends within twice its estimate") {
            rules.prefersOwn(order(estimateMs = 200), own(400)) { error("looked at other VMs") } shouldBe true
            val inRack = order(estimateMs = 200).copy(rack = "rack-1")
            rules.prefersOwn(inRack, own(400)) { error("looked at other VMs") } shouldBe true
        }

        it("an own worker that takes longer is left if another VM's is clearly faster, and kept if the difference is small") {
            val order = order(estimateMs = 200)
            rules.prefersOwn(order, own(500)) { offer(202) } shouldBe false
            rules.prefersOwn(order, own(500)) { offer(456) } shouldBe true
            rules.prefersOwn(order, own(500)) { null } shouldBe true
            rules.prefersOwn(order(estimateMs = 4), own(20)) { offer(11) } shouldBe true
        }

        it("a run that names a rack goes to the rack at another VM, unless an own worker outside ends it as early") {
            val order = order(estimateMs = 200).copy(rack = "rack-1")
            rules.prefersOwn(order, own(400, isInRack = false)) { offer(202) } shouldBe false
            rules.prefersOwn(order, own(235, isInRack = false)) { offer(288) } shouldBe true
            rules.prefersOwn(order, own(400, isInRack = false)) { offer(404, isInRack = false) } shouldBe true
        }
    })
