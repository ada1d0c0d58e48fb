/* Numbered result codes. docs/result-codes.md has the same table; ResultCodeTest compares the two. */
package dandelionpoint.protocol

import kotlinx.serialization.Serializable

/** What a result code says about whether the work ran. */
enum class Certainty {
    /** The work ran and its result is complete. */
    DONE,

    /** The work certainly did not start. */
    NOT_RUN,

    /** The work started and failed. */
    RAN_AND_FAILED,

    /** The work may or may not have run. */
    OUTCOME_UNKNOWN,
}

/**
 * A numbered result code. [number] is stable across versions; [httpStatus] is the status of a response with this code; [advice] says in
 * one sentence what the caller should do.
 */
@Serializable
enum class ResultCode(val number: Int, val certainty: Certainty, val httpStatus: Int, val advice: String) {
    OK(0, Certainty.DONE, 200, "Nothing to do."),

    DEADLINE_UNREACHABLE(100, Certainty.NOT_RUN, 503, "Submit again later, or with a later deadline."),
    DEADLINE_PASSED(101, Certainty.NOT_RUN, 503, "Submit again with a later deadline; the work was still queued at its deadline."),
    QUEUE_FULL(102, Certainty.NOT_RUN, 503, "Submit again later; the team's queue is at its limit."),
    QUOTA_ZERO(103, Certainty.NOT_RUN, 403, "Ask an operator for a quota for this team."),
    TOO_LARGE(104, Certainty.NOT_RUN, 422, "Declare less memory; no worker is large enough for a task of this job."),
    DEADLINE_BELOW_TASK(105, Certainty.NOT_RUN, 422, "Set a deadline that is longer than the longest declared task."),
    TABLE_UNAVAILABLE(106, Certainty.NOT_RUN, 503, "Submit again under the same id; the platform's table could not be reached in time."),
    NO_WORKER(107, Certainty.NOT_RUN, 503, "Submit again later; no worker could be reached before the deadline."),
    MAINTENANCE(110, Certainty.NOT_RUN, 503, "Submit again after the maintenance preset is no longer in force."),
    STARTING(111, Certainty.NOT_RUN, 503, "Submit again through another VM; this one has no configuration yet."),
    CANCELLED(112, Certainty.NOT_RUN, 409, "Nothing to do; the work was cancelled before any of it started."),

    TASK_FAILED(200, Certainty.RAN_AND_FAILED, 502, "Read the task's error; submit under a new id if it is safe to run the tasks again."),
    CANCELLED_RUNNING(201, Certainty.RAN_AND_FAILED, 409, "Nothing to do; some tasks had started before the cancellation."),
    DEADLINE_RUNNING(
        202,
        Certainty.RAN_AND_FAILED,
        504,
        "Submit under a new id with a later deadline if it is safe to run the tasks again.",
    ),

    ANSWER_LOST(300, Certainty.OUTCOME_UNKNOWN, 504, "Check the effect at the upstream before submitting under a new id."),
    OWNER_LOST(
        301,
        Certainty.OUTCOME_UNKNOWN,
        504,
        "Check the effect at the upstream before submitting under a new id; the VM that had it failed.",
    ),
    FORWARD_LOST(302, Certainty.OUTCOME_UNKNOWN, 504, "Submit again under the same id; the reply of the VM that owns it was lost."),
    OWNER_UNREACHABLE(
        303,
        Certainty.OUTCOME_UNKNOWN,
        503,
        "Submit again under the same id; no VM could say whether an earlier call started it.",
    ),
    ID_EXPIRED(
        304,
        Certainty.OUTCOME_UNKNOWN,
        410,
        "This call started nothing; make a new id only if no earlier call with this id ran.",
    ),

    BAD_BODY(400, Certainty.NOT_RUN, 400, "Correct the body as the message says."),
    BODY_TOO_LARGE(401, Certainty.NOT_RUN, 413, "Send a smaller body, or split the job."),
    BAD_ID(402, Certainty.NOT_RUN, 400, "Use a UUID version 7 as the id."),
    ID_FROM_FUTURE(404, Certainty.NOT_RUN, 400, "Correct the client's clock and submit under a new id."),
    ID_REUSED(405, Certainty.NOT_RUN, 409, "Use a new id; this one belongs to a submission with another body."),
    UNKNOWN_ID(406, Certainty.NOT_RUN, 404, "Check the id; no submission with it is known."),
    UNKNOWN_TEAM(407, Certainty.NOT_RUN, 404, "Check the team's name, or ask an operator to create it."),
    UNAUTHORIZED(408, Certainty.NOT_RUN, 401, "Send a valid token."),
    FORBIDDEN(409, Certainty.NOT_RUN, 403, "Use a token of the team that the job belongs to."),
    TOO_MANY_TASKS(410, Certainty.NOT_RUN, 422, "Split the job; at most 1,200 tasks are taken."),
    TOO_SLOW(411, Certainty.NOT_RUN, 408, "Send the whole request within the time limit."),

    VERSION_CONFLICT(500, Certainty.NOT_RUN, 409, "Read the configuration again and repeat the change on the version that won."),
    UNKNOWN_PRESET(501, Certainty.NOT_RUN, 404, "Check the preset's name, or create it first."),
    BAD_PRESET(502, Certainty.NOT_RUN, 422, "Correct the values as the message says."),
    CHANGE_UNKNOWN(503, Certainty.OUTCOME_UNKNOWN, 504, "Read the configuration to see whether the change was accepted."),
    CHANGE_UNAVAILABLE(504, Certainty.NOT_RUN, 503, "Repeat the change later; the platform's table could not be reached."),
}

/** A refusal or failure as it is returned to the caller. [detail] is one sentence and never contains a stack trace. */
@Serializable
data class Refusal(val code: ResultCode, val detail: String = code.advice)
