package dandelionpoint.protocol

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random

private const val THREADS = 8
private const val IDS_PER_THREAD = 50_000

/** Guards against two requests with the same id, which arise when two threads use a random source that is not thread-safe. */
class SharedRandomTest :
    DescribeSpec({
        describe("a random source that several threads use") {
            it("yields no id twice, since a second request with the same id would be taken for the first and refused") {
                val random = SharedRandom(seed = 1)
                val threads = Executors.newFixedThreadPool(THREADS)
                val draw = Callable { List(IDS_PER_THREAD) { SubmissionId.create(0, random.nextLong(), random.nextLong()) } }
                val ids = threads.invokeAll(List(THREADS) { draw }).flatMap { it.get() }
                threads.shutdown()
                ids.toSet().size shouldBe THREADS * IDS_PER_THREAD
            }
            it("yields the sequence of its seed, so that a run can be repeated") {
                val expected = Random(7).let { source -> List(10) { source.nextBits(32) } }
                SharedRandom(seed = 7).let { source -> List(10) { source.nextBits(32) } } shouldBe expected
            }
        }
    })
