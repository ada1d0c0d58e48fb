package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private fun vm(number: Int) = VmIdentity("vm-$number", "incarnation-$number", "north", "akl-a", "127.0.0.1", number + 1)

private const val SEEDS = 50
private const val CHANGES = 40

/** Guards against owners that are computed from cells which a peer no longer reports, or from peers that are lost. */
internal class CellDirectoryTest :
    DescribeSpec({
        describe("the owner of a cell") {
            it("is the peer with the highest token, after any changes and losses of peers") {
                repeat(SEEDS) { seed ->
                    val random = Random(seed)
                    val directory = CellDirectory()
                    val reported = HashMap<VmIdentity, Map<String, Long>>()
                    repeat(CHANGES) {
                        val peer = vm(random.nextInt(4))
                        val cells = List(random.nextInt(3)) { "akl-a/${random.nextInt(3)}" to random.nextLong(1_000) }.toMap()
                        if (random.nextInt(4) == 0) {
                            directory.remove(peer)
                            reported.remove(peer)
                        } else {
                            directory.update(peer, cells)
                            reported[peer] = cells
                        }
                        List(3) { "akl-a/$it" }.forEach { cell ->
                            directory.owner(cell)?.token shouldBe reported.values.mapNotNull { it[cell] }.maxOrNull()
                            directory.owner(cell)?.let { reported.getValue(it.vm)[cell] shouldBe it.token }
                        }
                        directory.hasOwners() shouldBe reported.values.any { it.isNotEmpty() }
                    }
                }
            }
        }
    })
