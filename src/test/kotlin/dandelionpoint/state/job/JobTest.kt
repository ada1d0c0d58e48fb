package dandelionpoint.state.job

import dandelionpoint.protocol.Certainty
import dandelionpoint.protocol.JobState
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.TaskSpec
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

private const val TASKS = 3

private enum class Step { BEGIN, NOT_STARTED, ANSWER_FIRST, ANSWER_SECOND, ANSWER_THIRD, FAIL, CANCEL, EXPIRE }

private fun newJob() = Job(
    submission =
    JobSubmission(
        id = SubmissionId.create(nowMs = 1, randomHigh = 2, randomLow = 3),
        team = "bench",
        tasks = List(TASKS) { TaskSpec("payload $it") },
    ),
    digest = "d",
    receivedMs = 0,
    deadlineMs = 1_000,
)

/**
 * Guards against a job with two outcomes, or one that is reported as 'not run' although a task has started. This could come about when
 * results, failures, cancellation and the deadline arrive in any order.
 */
class JobTest :
    DescribeSpec({
        describe("a job under any order of events") {
            it("has one final state, all results or none, and is reported as 'not run' only if no task has started") {
                checkAll(PropTestConfig(seed = 20_261_204), Arb.list(Arb.enum<Step>(), 0..20)) { steps ->
                    val job = newJob()
                    var running = 0
                    var started = 0
                    var final: JobState? = null
                    steps.forEach { step ->
                        when (step) {
                            Step.BEGIN -> if (job.beginTask()) {
                                running++
                                started++
                                final shouldBe null
                            }

                            Step.NOT_STARTED -> if (running > 0) {
                                job.taskNotStarted()
                                running--
                                started--
                            }

                            Step.ANSWER_FIRST -> if (running > 0) job.completeTask(0, "r0")

                            Step.ANSWER_SECOND -> if (running > 0) job.completeTask(1, "r1")

                            Step.ANSWER_THIRD -> if (running > 0) job.completeTask(2, "r2")

                            Step.FAIL -> job.fail(ResultCode.NO_WORKER, ResultCode.TASK_FAILED)

                            Step.CANCEL -> job.cancel()

                            Step.EXPIRE -> job.fail(ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_RUNNING)
                        }
                        val view = job.view()
                        if (final != null) view.state shouldBe final
                        if (view.state.isFinal && final == null) {
                            final = view.state
                            if (view.code.certainty == Certainty.NOT_RUN) started shouldBe 0
                        }
                        (view.results != null) shouldBe (view.state == JobState.COMPLETE)
                        view.results?.let { it shouldBe listOf("r0", "r1", "r2") }
                    }
                }
            }
        }
    })
