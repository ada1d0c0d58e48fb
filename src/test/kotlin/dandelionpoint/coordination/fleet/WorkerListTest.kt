package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs

/** Guards against a list of workers that is kept although it has changed. */
internal class WorkerListTest :
    DescribeSpec({
        describe("the current list") {
            it("is the same one until an entry changes") {
                val list = WorkerList(FleetRules())
                list.put(worker("a"))
                val before = list.current(now = 10_000)
                list.put(worker("a"))
                list.current(now = 20_000) shouldBeSameInstanceAs before
                list.put(worker("b"))
                list.current(now = 20_000).map { it.id }.toSet() shouldBe setOf("a", "b")
                list.put(worker("b", isDraining = true))
                list.current(now = 20_000).single { it.isDraining }.id shouldBe "b"
            }

            it("keeps a missing worker until the grace period after the return of the store is over") {
                val list = WorkerList(FleetRules(expiredEntryGraceMs = 2_300))
                list.replaceAll(listOf(worker("a"), worker("b")), now = 0)
                list.onStoreAnswer(now = 0)
                list.onStoreAnswer(now = 10_000)
                list.onRemoved("a", now = 10_000)
                list.current(now = 12_299).map { it.id }.toSet() shouldBe setOf("a", "b")
                list.current(now = 12_300).map { it.id } shouldBe listOf("b")
            }
        }
    })
