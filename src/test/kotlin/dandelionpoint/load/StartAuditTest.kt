package dandelionpoint.load

import dandelionpoint.protocol.JobState
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private fun view(results: List<String>?, state: JobState = JobState.COMPLETE, id: String = ID, code: ResultCode = ResultCode.OK) =
    Answer.View(JobView(SubmissionId(id), "tracks", state, code, tasks = 2, results = results))

private val job = submission(listOf(10.0, 20.0))
private val refused = Answer.Refused(ResultCode.QUEUE_FULL, "full")
private val complete = view(listOf(workerAnswer("$ID/0"), workerAnswer("$ID/1")))

private fun audit(outcome: SubmissionOutcome, vararg counts: Int) =
    auditStarts(listOf(outcome)) { keys -> keys.zip(counts.toList()).toMap() }

/**
 * Guards against an audit that misses a violated guarantee or reports one that was kept. The difficult cases are work that was submitted
 * several times with one id, so that a refusal of one attempt and a run of another may both be right, and answers with an unknown outcome.
 */
class StartAuditTest :
    DescribeSpec({
        describe("an answer") {
            it("has no fault if it has the results of its own tasks in order") {
                checkAnswer(ID, 2, complete) shouldBe emptySet()
                checkAnswer(ID, 1, Answer.Result(workerAnswer("$ID/0"))) shouldBe emptySet()
            }

            it("is partial if a result is missing, or if results come with a failure") {
                checkAnswer(ID, 2, view(listOf(workerAnswer("$ID/0")))) shouldBe setOf(AnswerFault.PARTIAL)
                checkAnswer(ID, 2, view(null)) shouldBe setOf(AnswerFault.PARTIAL)
                checkAnswer(ID, 2, view(listOf(workerAnswer("$ID/0")), JobState.FAILED)) shouldBe setOf(AnswerFault.PARTIAL)
            }

            it("is foreign if a result or the whole job belongs to another submission") {
                checkAnswer(ID, 1, Answer.Result(workerAnswer("$OTHER_ID/0"))) shouldBe setOf(AnswerFault.FOREIGN)
                checkAnswer(ID, 2, view(listOf(workerAnswer("$ID/0"), workerAnswer("$OTHER_ID/1")))) shouldBe setOf(AnswerFault.FOREIGN)
                checkAnswer(ID, 2, view(complete.view.results, id = OTHER_ID)) shouldBe setOf(AnswerFault.FOREIGN)
            }

            it("is out of order if results of the job are swapped, and unreadable if a result is not a worker's answer") {
                checkAnswer(ID, 2, view(complete.view.results?.reversed())) shouldBe setOf(AnswerFault.OUT_OF_ORDER)
                checkAnswer(ID, 1, Answer.Result("oops")) shouldBe setOf(AnswerFault.UNREADABLE)
            }
        }

        describe("the comparison with the start log") {
            it("finds nothing if each key was started once and the answers are complete") {
                val result = audit(outcome(complete, job), 1, 1)
                result.isClean shouldBe true
                result.startedKeys shouldBe 2
            }

            it("finds a key that was started twice") {
                audit(outcome(complete, job), 1, 3).duplicateStarts shouldBe 2
            }

            it("counts a repeated start as a duplicate unless it is that of an idempotent request") {
                val request = submission(kind = SubmissionKind.REQUEST, idempotent = true)
                val answer = Answer.Result(workerAnswer("$ID/0"))
                val repeated = audit(outcome(answer, request), 2)
                repeated.duplicateStarts shouldBe 0
                repeated.idempotentRepeats shouldBe 1
                audit(outcome(answer, request.copy(idempotent = false)), 2).duplicateStarts shouldBe 1
            }

            it("finds a 'not run' answer to work that was started, as a refusal and as a job's view") {
                audit(outcome(refused, job), 0, 1).falseRefusals shouldBe 1
                audit(outcome(refused, job), 0, 0).falseRefusals shouldBe 0
                val passed = view(null, JobState.FAILED, code = ResultCode.DEADLINE_PASSED)
                audit(outcome(passed, job), 1, 0).falseRefusals shouldBe 1
            }

            it("accepts a refusal if a later attempt with the same id ran, but not if only an earlier one can have run") {
                val later = SubmissionOutcome(job, ID, listOf(Attempt(0.0, 10.0, refused), Attempt(20.0, 50.0, complete)))
                audit(later, 1, 1).falseRefusals shouldBe 0
                val earlier =
                    SubmissionOutcome(job, ID, listOf(Attempt(15.0, 20.0, refused, isResubmission = true), Attempt(0.0, 50.0, complete)))
                audit(earlier, 1, 1).falseRefusals shouldBe 1
            }

            it("does not treat a failure with an unknown outcome as a refusal") {
                audit(outcome(Answer.Refused(ResultCode.OWNER_LOST, ""), job), 1, 0).falseRefusals shouldBe 0
                audit(outcome(Answer.CallFailed(isUnsent = false, "reset"), job), 1, 0).isClean shouldBe true
            }

            it("finds a success with a task that was never started, and counts answers with faults") {
                val result = audit(outcome(view(listOf(workerAnswer("$ID/0"), workerAnswer("$OTHER_ID/1"))), job), 1, 0)
                result.startlessSuccesses shouldBe 1
                result.answerFaults shouldBe mapOf(AnswerFault.FOREIGN to 1)
                result.isClean shouldBe false
            }

            it("queries the keys in batches, each key once") {
                val queriedKeys = mutableListOf<String>()
                val outcomes = List(7) { outcome(complete, job).copy(id = "id-$it") }
                auditStarts(outcomes, batchKeys = 5) { keys ->
                    keys.size shouldBeLessThanOrEqual 5
                    queriedKeys += keys
                    keys.associateWith { 1 }
                }.startedKeys shouldBe 14
                queriedKeys shouldBe outcomes.flatMap { it.keys() }
            }
        }
    })
