/*
 * Client of the platform's table store that implements [SharedRows]. A call that was answered with 503 or 429 was not performed; one
 * without a complete response may have been. Keys are sent as UTF-8 and values as base64; `part` is empty in all rows of this project.
 */
package dandelionpoint.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.RowWrite
import dandelionpoint.protocol.fleet.RowsRead
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WriteResult
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.transport.http.CallThreads
import dandelionpoint.transport.http.HttpChannel
import dandelionpoint.transport.http.HttpChannelSettings
import dandelionpoint.transport.http.HttpOutcome
import dandelionpoint.transport.http.OneShotBody
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.Request
import java.util.Base64

/** Client of the store at [address] (host:port). A call may take [timeoutMs] ms plus the time that the store is asked to wait. */
internal class PlatformRows(address: String, threads: CallThreads, private val timeoutMs: Long = 1_500) : SharedRows {
    private val base = "http://$address".toHttpUrl()
    private val writeUrl = base.newBuilder().addPathSegments("v1/rows-tx").build()
    private val channel = HttpChannel(HttpChannelSettings(connectTimeoutMs = 400, keepAliveMs = 30_000, isCleartext = true), threads)

    override suspend fun read(table: String, from: String, to: String): Either<StoreError, RowsRead> {
        val rows = mutableListOf<SharedRow>()
        var next = from
        while (true) {
            val page = get("v1/rows-get", timeoutMs) {
                addQueryParameter("table", table)
                addQueryParameter("part", "")
                if (next.isNotEmpty()) addQueryParameter("from", next)
                if (to.isNotEmpty()) addQueryParameter("to", to)
            }
            val body = when (page) {
                is Either.Left -> return page.value.error.left()
                is Either.Right -> page.value
            }
            val pageRows = decodeRows(body)
            rows += pageRows
            if (body.flag("has_more") && pageRows.isNotEmpty()) {
                next = pageRows.last().key + "\u0000"
            } else {
                return RowsRead(rows, body.long("ver") ?: 0L, body.long("now_ms") ?: 0L).right()
            }
        }
    }

    override suspend fun changes(table: String, version: Long, waitMs: Long): Either<StoreError, RowChanges> {
        val answer = get("v1/rows-feed", timeoutMs + waitMs) {
            addQueryParameter("table", table)
            addQueryParameter("after", version.toString())
            addQueryParameter("wait_ms", waitMs.toString())
        }
        return when (answer) {
            is Either.Left -> if (answer.value.status == GONE) RowChanges.HistoryGone.right() else answer.value.error.left()
            is Either.Right -> RowChanges.Changed(decodeRows(answer.value), answer.value.long("ver") ?: version).right()
        }
    }

    override suspend fun write(table: String, key: String, value: ByteArray?, expected: Long?): Either<StoreError, WriteResult> = send(
        preconditions = listOfNotNull(expected?.let { condition(table, key, it) }),
        puts = listOfNotNull(value?.let { put(table, key, it) }),
        removals = if (value == null) listOf(row(table, key)) else emptyList(),
    )

    override suspend fun writeAll(table: String, writes: List<RowWrite>): Either<StoreError, WriteResult> = send(
        preconditions = writes.map { condition(table, it.key, it.expected) },
        puts = writes.map { put(table, it.key, it.value) },
        removals = emptyList(),
    )

    /** Sends one transaction, in which all rows have the empty part. */
    private suspend fun send(
        preconditions: List<JsonObject>,
        puts: List<JsonObject>,
        removals: List<JsonObject>,
    ): Either<StoreError, WriteResult> {
        val body = buildJsonObject {
            put("precondition", JsonArray(preconditions))
            put("puts", JsonArray(puts))
            put("remove", JsonArray(removals))
        }
        val request = Request.Builder().url(writeUrl).post(OneShotBody(body.toString().encodeToByteArray(), JSON_TYPE))
        return when (val outcome = channel.send(request, timeoutMs)) {
            is HttpOutcome.NotWritten -> StoreError.NotApplied(outcome.reason).left()

            is HttpOutcome.Lost -> StoreError.OutcomeUnknown(outcome.reason).left()

            is HttpOutcome.Answer -> when (outcome.status) {
                OK -> parseObject(outcome.body)?.let { WriteResult.Written(it.long("ver") ?: 0L, it.long("now_ms") ?: 0L).right() }
                    ?: StoreError.OutcomeUnknown("the answer cannot be read").left()

                PRECONDITION_FAILED -> WriteResult.Conflict.right()

                else -> StoreError.NotApplied("status ${outcome.status}").left()
            }
        }
    }

    private fun row(table: String, key: String, member: JsonObjectBuilder.() -> Unit = {}): JsonObject = buildJsonObject {
        put("table", table)
        put("part", "")
        put("key", key)
        member()
    }

    private fun condition(table: String, key: String, version: Long) = row(table, key) { put("ver", version) }

    private fun put(table: String, key: String, value: ByteArray) =
        row(table, key) { put("value", Base64.getEncoder().encodeToString(value)) }

    /** A read that failed; [status] is the HTTP status of the answer, null if there was none. */
    private class ReadFailure(val error: StoreError, val status: Int? = null)

    private suspend fun get(path: String, timeoutMs: Long, query: HttpUrl.Builder.() -> Unit): Either<ReadFailure, JsonObject> {
        val url = base.newBuilder().addPathSegments(path).apply(query).build()
        return when (val outcome = channel.send(Request.Builder().url(url), timeoutMs)) {
            is HttpOutcome.NotWritten -> ReadFailure(StoreError.NotApplied(outcome.reason)).left()

            is HttpOutcome.Lost -> ReadFailure(StoreError.NotApplied(outcome.reason)).left()

            is HttpOutcome.Answer -> {
                val body = if (outcome.status == OK) parseObject(outcome.body) else null
                body?.right() ?: ReadFailure(StoreError.NotApplied("status ${outcome.status}"), outcome.status).left()
            }
        }
    }

    private fun decodeRows(body: JsonObject): List<SharedRow> = body.array("rows").mapNotNull { element ->
        val row = (element as? JsonObject)?.takeIf { it.text("part").isNullOrEmpty() } ?: return@mapNotNull null
        val key = row.text("key") ?: return@mapNotNull null
        val value = if (row.flag("deleted")) null else row.text("value")?.let { decodeBase64(it) } ?: ByteArray(0)
        SharedRow(row.text("table").orEmpty(), key, value, row.long("ver") ?: 0L)
    }

    private companion object {
        const val OK = 200
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
    }
}
