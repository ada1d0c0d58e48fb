package dandelionpoint.load

import dandelionpoint.protocol.ResultCode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json

private fun request(number: Int, atMs: Double, team: String = "lookups", workMs: Double = 100.0) =
    submission(listOf(workMs), atMs, SubmissionKind.REQUEST, number, team, deadlineMs = 500)

private val ok = Answer.Result(workerAnswer("$ID/0"))
private val audit = AuditResult(90, 95, 0, 0, 0, 0, emptyMap(), emptyList())

private fun result(outcomes: List<SubmissionOutcome>, calls: Map<String, Long> = emptyMap(), quotas: Map<String, Int> = emptyMap()) =
    ReplayResult(
        settings = settings(),
        workload = Workload(outcomes.map { it.submission }, spanMs = 1_000.0, capacity = 1.0),
        outcomes = outcomes,
        idealMs = DoubleArray(outcomes.size) { 50.0 },
        audit = audit,
        workerCalls = calls,
        platformUsage = PlatformUsage(PlatformUsage.Store(writes = mapOf("record" to 19)), PlatformUsage.Store()),
        quotas = quotas,
    )

/**
 * Guards against reports with wrong figures: submissions that failed counted as fast answers, late work counted as goodput, or calls to
 * workers lost because the counters of a VM begin at zero after a restart.
 */
class ReportBuilderTest :
    DescribeSpec({
        describe("the report") {
            val answered = List(100) { outcome(ok, request(it, it * 5.0), answeredMs = it * 5.0 + if (it == 99) 400 else 75) }
            val failed = outcome(Answer.Refused(ResultCode.QUEUE_FULL, ""), request(100, 700.0))
            val lost = outcome(Answer.CallFailed(isUnsent = false, "reset"), request(101, 710.0))
            val report = buildReport(result(answered + failed + lost, mapOf("ok" to 90, "retry" to 9)))

            it("divides the response of each success by its ideal") {
                report.requests.ratio.count shouldBe 100
                report.requests.ratio.p50 shouldBe (1.5 plusOrMinus 0.01)
                report.requests.ratio.max shouldBe (8.0 plusOrMinus 0.02)
                report.jobs.ratio.count shouldBe 0
            }

            it("counts submissions by result code and by what the answer says about their outcome") {
                report.refusals shouldContainExactly mapOf("QUEUE_FULL" to 1, "no answer: reset" to 1)
                report.certainties shouldContainExactly mapOf("DONE" to 100, "NOT_RUN" to 1, "NO_ANSWER" to 1)
            }

            it("counts calls beyond one for each started key as wasted, from the VMs' counters or, without any, from the starts") {
                report.calls.wastedShare shouldBe (0.1 plusOrMinus 1e-9)
                buildReport(result(answered)).calls.wasted shouldBe 5
            }

            it("gives table writes for each thousand starts") {
                report.platform?.tableWrites shouldBe mapOf("record" to 200.0)
            }

            it("can be read back from its JSON and names its figures in its text") {
                Json { ignoreUnknownKeys = true }.decodeFromString<LoadReport>(report.toJson()) shouldBe report
                report.toText() shouldContain "wasted over needed 10.00 %"
                report.toText() shouldContain "duplicate starts 0, false refusals 0"
            }
        }

        describe("work completed in time") {
            it("excludes late and refused work, and counts only the part inside the span") {
                outcome(ok, request(0, 0.0), answeredMs = 500.0).workInTime(1_000.0) shouldBe 100.0
                outcome(ok, request(0, 0.0), answeredMs = 501.0).workInTime(1_000.0) shouldBe 0.0
                outcome(ok, request(0, 900.0), answeredMs = 1_300.0).workInTime(1_000.0) shouldBe (25.0 plusOrMinus 1e-9)
                outcome(Answer.Refused(ResultCode.QUEUE_FULL, ""), request(0, 0.0)).workInTime(1_000.0) shouldBe 0.0
            }

            it("is divided by the capacity, and each team's share is compared with its quota") {
                val outcomes = listOf(outcome(ok, request(0, 0.0, "lookups", 300.0)), outcome(ok, request(1, 0.0, "billing", 100.0)))
                val report = buildReport(result(outcomes, quotas = mapOf("lookups" to 2, "billing" to 2, "idle" to 9)))
                report.goodput shouldBe (0.4 plusOrMinus 1e-9)
                report.teams.getValue("lookups").doneShare shouldBe (0.75 plusOrMinus 1e-9)
                report.teams.getValue("lookups").deviation shouldBe 0.5
            }
        }

        describe("the counters of calls to workers") {
            val scrape =
                """
                # TYPE dandelionpoint_worker_calls_total counter
                dandelionpoint_worker_calls_total{outcome="ok"} 10.0
                dandelionpoint_worker_calls_total{dataCentre="akl-a",outcome="ok"} 5.0
                dandelionpoint_worker_calls_total{outcome="refused",dataCentre="akl-a"} 2.0
                dandelionpoint_other_total{outcome="ok"} 7.0
                """.trimIndent()

            it("are read by outcome from a scrape") {
                parseWorkerCalls(scrape) shouldBe mapOf("ok" to 15.0, "refused" to 2.0)
            }

            it("are counted from the first sample and across a restart of the VM") {
                val counter = WorkerCallCounter()
                listOf(100.0, 130.0, 8.0, 10.0).forEach { counter.record("vm", mapOf("ok" to it)) }
                counter.increases() shouldBe mapOf("ok" to 40L)
            }
        }

        describe("a comparison") {
            it("takes the median, the minimum and the maximum of the rounds") {
                spread(listOf(3.0, 1.0, 10.0)) shouldBe Spread(3.0, 1.0, 10.0)
                spread(listOf(1.0, 2.0)) shouldBe Spread(1.5, 1.0, 2.0)
            }
        }

        describe("the plot") {
            it("has a curve that falls to the bottom at the greatest ratio") {
                val svg = ratioPlot("a < b", mapOf("all" to List(1_000) { 1.0 + it / 1_000.0 }))
                svg shouldContain "a &lt; b"
                svg shouldContain "<polyline"
                svg shouldContain "700.0,390.0\""
            }
        }
    })
