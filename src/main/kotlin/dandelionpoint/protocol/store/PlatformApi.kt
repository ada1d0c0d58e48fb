/* Paths and headers of the platform's HTTP interface, shared by the clients and the stand-in. */
package dandelionpoint.protocol.store

/** Paths and headers of the platform's HTTP interface. */
object PlatformApi {
    /** Header with the data centre of the caller, so that the stand-ins can cut it off or delay it. */
    const val DATA_CENTRE_HEADER = "X-Data-Centre"

    /** `GET ?key=`: the row as JSON, or `null`. */
    const val TABLE_ROW = "/table/row"

    /** `GET ?prefix=&after=&limit=`: a [ScanPage]. */
    const val TABLE_SCAN = "/table/scan"

    /** `POST` of a [Transaction]: a [TransactionResult], for a conflict also with status 200. */
    const val TABLE_TRANSACT = "/table/transact"

    /** `GET` and `PUT` of `/objects/{key}`; a key may contain slashes. */
    const val OBJECTS = "/objects"

    /** `GET`: list of [VmEntry]. */
    const val VMS = "/vms"

    /** `GET`: list of [WorkerUsage]. */
    const val WORKERS = "/workers"

    /** Bytes of one read unit: a read is counted for each 16 KiB, or part of it, that is returned. */
    const val READ_UNIT_BYTES = 16 * 1024
}
