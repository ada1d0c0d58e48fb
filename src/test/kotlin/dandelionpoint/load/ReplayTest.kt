package dandelionpoint.load

import dandelionpoint.protocol.ResultCode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap

private val work =
    List(20) {
        val kind = if (it % 2 == 0) SubmissionKind.REQUEST else SubmissionKind.JOB
        submission(List(if (it % 2 == 0) 1 else 5) { 1.0 }, atMs = it.toDouble(), kind = kind, number = it)
    }

private suspend fun replay(vararg entries: EntryAddress, submissions: List<Submission> = work): List<SubmissionOutcome> =
    EntryClient(mapOf("tracks" to "secret-of-tracks")).use { client ->
        Replay(client, entries.toList(), seed = 4).run(Workload(submissions, spanMs = 20.0, capacity = 1.0))
    }

private suspend fun audit(fault: FakeFault): AuditResult = FakeEntryVm(fault).use { entry ->
    auditStarts(replay(entry.address)) { entry.starts(it) }
}

/**
 * Guards against a replay that hides or causes the errors that it should find: an audit that misses the faults of an entry VM, or a
 * client that retries a request which may have run and so starts it twice.
 */
class ReplayTest :
    DescribeSpec({
        describe("a replay against an entry VM") {
            it("sends each submission once with its team's token, and the audit finds no fault") {
                FakeEntryVm().use { entry ->
                    val outcomes = replay(entry.address)
                    outcomes shouldHaveSize work.size
                    outcomes.all { it.isOk && it.attempts.size == 1 } shouldBe true
                    entry.calls.forEach { it shouldEndWith "Bearer secret-of-tracks" }
                    val result = auditStarts(outcomes) { entry.starts(it) }
                    result.isClean shouldBe true
                    result.startedKeys shouldBe 60
                }
            }

            it("detects duplicate starts, partial and foreign answers, and false refusals of the VM") {
                audit(FakeFault.STARTS_TWICE).duplicateStarts shouldBe 20
                audit(FakeFault.PARTIAL_RESULTS).answerFaults shouldBe mapOf(AnswerFault.PARTIAL to 10)
                audit(FakeFault.RETURNS_OTHER_RESULTS).answerFaults shouldContainKey AnswerFault.FOREIGN
                audit(FakeFault.REFUSES_AFTER_START).falseRefusals shouldBe 20
            }

            it("submits a job again with the same id if the trace prescribes it") {
                FakeEntryVm().use { entry ->
                    val job = submission(listOf(1.0, 1.0), resubmitAfterMs = listOf(5.0, 10.0))
                    val outcome = replay(entry.address, submissions = listOf(job)).single()
                    outcome.attempts.count { it.isResubmission } shouldBe 2
                    auditStarts(listOf(outcome)) { entry.starts(it) }.duplicateStarts shouldBe 0
                }
            }
        }

        describe("a replay against several entry VMs") {
            it("tries the next VM if one is unreachable or not ready, so that every submission is answered") {
                val startLog = ConcurrentHashMap<String, Int>()
                val unreachable = ServerSocket(0).use { EntryAddress("127.0.0.1", it.localPort) }
                FakeEntryVm(startLog = startLog).use { healthyVm ->
                    FakeEntryVm(FakeFault.NOT_READY, startLog).use { notReadyVm ->
                        val outcomes = replay(unreachable, notReadyVm.address, healthyVm.address)
                        outcomes.all { it.isOk } shouldBe true
                        auditStarts(outcomes) { healthyVm.starts(it) }.isClean shouldBe true
                    }
                }
            }

            it("retries a job with the same id after a closed connection, but never a request, which may have run") {
                val startLog = ConcurrentHashMap<String, Int>()
                FakeEntryVm(startLog = startLog).use { healthyVm ->
                    FakeEntryVm(FakeFault.CLOSES_CONNECTION, startLog).use { closingVm ->
                        val outcomes = replay(closingVm.address, healthyVm.address)
                        outcomes.filter { it.submission.kind == SubmissionKind.JOB }.all { it.code == ResultCode.OK } shouldBe true
                        val requests = outcomes.filter { it.submission.kind == SubmissionKind.REQUEST }
                        requests.all { it.attempts.size == 1 } shouldBe true
                        requests.count { it.code == null }.toLong() shouldBeGreaterThan 0
                    }
                }
            }
        }
    })
