/* Client of the platform's object store. */
package dandelionpoint.transport.store

import arrow.core.Either
import dandelionpoint.protocol.store.ObjectStore
import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.StoreError

/** [ObjectStore] over HTTP. Sends each call at most once. A put with an unknown outcome can be repeated, because objects never change. */
class HttpObjectStore(private val client: PlatformClient) : ObjectStore {
    override suspend fun put(key: String, bytes: ByteArray): Either<StoreError, Unit> =
        client.change("PUT", "${PlatformApi.OBJECTS}/$key", bytes, "application/octet-stream").map { }

    override suspend fun get(key: String): Either<StoreError, ByteArray?> = client
        .read("${PlatformApi.OBJECTS}/$key", emptyMap(), PlatformClient.NOT_FOUND)
        .map { response -> response.body.takeUnless { response.status == PlatformClient.NOT_FOUND } }
}
