package dandelionpoint.load

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSortedBy
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import java.nio.file.Files
import java.nio.file.Path

private const val MAX_FILE_BYTES = 300_000L

/**
 * Guards against replays that cannot be compared: a trace that changes when it is stored, committed traces that differ from what the
 * generator produces, and scaling that changes the offered load.
 */
class TraceTest :
    DescribeSpec({
        describe("a generated trace") {
            it("is unchanged after encoding and decoding") {
                checkAll(PropTestConfig(seed = 77, iterations = 6), Arb.element(deploymentNames), Arb.long()) { name, seed ->
                    val trace = generateTrace(name, seed)
                    Trace.decode(Trace.encode(trace)) shouldBe trace
                }
            }

            it("declares run times that are wrong by at most a factor of 4, and has no task above 6 s") {
                checkAll(PropTestConfig(seed = 78, iterations = 4), Arb.element(deploymentNames), Arb.long()) { name, seed ->
                    val times = generateTrace(name, seed).lines.flatMap { it.taskTimes() }
                    times.forEach { (it.declaredMs + 1) / it.trueMs shouldBeBetween (0.25 to 4.1) }
                    times.maxOf { it.trueMs } shouldBeBetween (500.0 to 6_000.0)
                }
            }

            it("returns recorded run times unchanged") {
                val line = JobLine(5.0, 2, "tracks", "track", 1_000, ListedTimes(listOf(TaskTime(10.0, 40), TaskTime(20.0, 5))))
                val trace = Trace(TraceHeader("t", 100.0, 1.0, 0), listOf(line))
                Trace.decode(Trace.encode(trace)).lines.single().taskTimes().map { it.trueMs } shouldBe listOf(10.0, 20.0)
                shouldThrow<IllegalArgumentException> { line.copy(tasks = 3).taskTimes() }
            }
        }

        describe("the committed traces") {
            deploymentNames.forEach { name ->
                it("contain $name as the generator produces it, in a small file") {
                    val file = Path.of("traces", "$name.jsonl")
                    val trace = Trace.read(file)
                    trace shouldBe generateTrace(name, trace.header.seed)
                    Files.size(file) shouldBeLessThan MAX_FILE_BYTES
                    trace.workMs() / (trace.header.lengthMs * trace.header.capacity) shouldBe (1.0 plusOrMinus 0.03)
                }
            }

            it("contain jobs of the sizes and teams of the deployments") {
                val crema = Trace.read(Path.of("traces", "crema-quarter-end.jsonl")).lines
                crema.filterIsInstance<JobLine>().forEach { it.tasks shouldBeInRange 50..1_200 }
                crema.map { it.team }.toSet() shouldContainAll setOf("lookups", "certificates", "billing")
                val corallo = Trace.read(Path.of("traces", "corallo-thursday.jsonl")).lines.filterIsInstance<JobLine>()
                corallo.forEach { it.tasks shouldBeInRange 20..600 }
                corallo.any { it.resubmitAfterMs.isNotEmpty() } shouldBe true
                corallo.any { line -> line.taskTimes().any { it.trueMs > 2_000 } } shouldBe true
            }
        }

        describe("a trace scaled for a replay") {
            val trace = generateTrace("corallo-thursday", 3)

            it("offers the given load on the actual capacity") {
                val workload = trace.scaled(ReplayScale(load = 0.8, capacity = 100.0))
                workload.submissions.sumOf { it.workMs } / (workload.capacity * workload.spanMs) shouldBe (0.8 plusOrMinus 0.01)
                workload.submissions shouldBeSortedBy { it.atMs }
                workload.submissions.map { it.number } shouldBe workload.submissions.indices.toList()
            }

            it("scales run times and arrivals by the same factor, so that the load is unchanged") {
                val full = trace.scaled(ReplayScale(load = 0.8, capacity = 320.0))
                val short = trace.scaled(ReplayScale(load = 0.8, capacity = 320.0, timeScale = 0.1))
                short.spanMs shouldBe (full.spanMs * 0.1 plusOrMinus 1e-6)
                short.submissions.last().atMs shouldBe (full.submissions.last().atMs * 0.1 plusOrMinus 1e-6)
                short.submissions.sumOf { it.workMs } shouldBe (full.submissions.sumOf { it.workMs } * 0.1 plusOrMinus 1e-3)
            }

            listOf(7.0, 30.0, 100.0, 200.0).forEach { seconds ->
                it("is thinned or repeated to about $seconds s at the same load, with arrivals up to the end") {
                    val workload = trace.scaled(ReplayScale(load = 0.8, capacity = 320.0, seconds = seconds))
                    workload.spanMs shouldBeBetween (seconds * 750 to seconds * 1_250)
                    workload.submissions.sumOf { it.workMs } / (workload.capacity * workload.spanMs) shouldBe (0.8 plusOrMinus 1e-6)
                    workload.submissions.last().atMs shouldBeBetween (workload.spanMs * 0.95 to workload.spanMs)
                    workload.submissions.map { it.idBits }.toSet().size shouldBe workload.submissions.size
                }
            }
        }
    })

private infix fun Double.shouldBeBetween(range: Pair<Double, Double>) = shouldBeBetween(range.first, range.second, 1e-9)
