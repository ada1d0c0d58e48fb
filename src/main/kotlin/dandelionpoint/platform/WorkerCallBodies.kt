/* Bodies of the calls to workers, written without a JSON tree, because a VM sends tens of them a second. */
package dandelionpoint.platform

import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.TaskRun
import kotlinx.serialization.json.JsonPrimitive

/** Decodes the worker's clock in an answer to a start order, which has no runs; null if it is missing or out of range. */
internal fun decodeClock(bytes: ByteArray): Long? = RunListReader(bytes).read()?.clockMs ?: parseObject(bytes)?.clockMs()

/** Encodes the body of the call that starts the run of [order]. */
internal fun encodeStart(order: StartOrder): String = buildString {
    append("{\"task\":").append(quoted(order.run.task.wireName()))
    append(",\"run\":").append(order.run.run)
    append(",\"spec\":").append(quoted(order.payload))
    append(",\"deadline_ms\":").append(order.leaseUntilMs)
    append(",\"fencing_token\":").append(order.token).append('}')
}

/** Encodes the body of the call that stops [run] under the fencing token [token]. */
internal fun encodeStop(run: TaskRun, token: Long): String =
    "{\"task\":${quoted(run.task.wireName())},\"run\":${run.run},\"fencing_token\":$token}"

/** Encodes the body of the lease call [call]. */
internal fun encodeLease(call: LeaseCall): String = buildString {
    append("{\"fencing_token\":").append(call.token)
    append(",\"last_seen\":").append(call.seenEnd)
    call.leaseUntilMs?.let { append(",\"deadline_ms\":").append(it) }
    if (call.waitMs > 0) append(",\"wait_ms\":").append(call.waitMs)
    append('}')
}

/** [text] as a JSON string. */
private fun quoted(text: String): String = JsonPrimitive(text).toString()
