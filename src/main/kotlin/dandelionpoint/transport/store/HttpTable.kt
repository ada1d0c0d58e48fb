/* Client of the platform's table service. */
package dandelionpoint.transport.store

import arrow.core.Either
import arrow.core.flatMap
import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import kotlinx.serialization.encodeToString

/** [Table] over HTTP. Sends each call at most once. A transaction without a readable response has an unknown outcome. */
class HttpTable(private val client: PlatformClient) : Table {
    override suspend fun get(key: String): Either<StoreError, Row?> = client
        .read(PlatformApi.TABLE_ROW, mapOf("key" to key))
        .flatMap { it.decode<Row?>(StoreError::NotApplied) }

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreError, ScanPage> {
        val query = mapOf("prefix" to prefix, "limit" to limit.toString()) + listOfNotNull(after?.let { "after" to it })
        return client.read(PlatformApi.TABLE_SCAN, query).flatMap { it.decode<ScanPage>(StoreError::NotApplied) }
    }

    override suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult> {
        val body = PLATFORM_JSON.encodeToString(transaction).encodeToByteArray()
        return client
            .change("POST", PlatformApi.TABLE_TRANSACT, body, PlatformClient.JSON)
            .flatMap { it.decode<TransactionResult>(StoreError::OutcomeUnknown) }
    }
}
