/* Paths and headers of the platform's HTTP interface, shared by the clients and the platform stand-in. */
package dandelionpoint.protocol.store

/** Paths and headers of the platform's HTTP interface. */
object PlatformApi {
    /** Header with the data centre of the caller, so that the stand-ins can block or delay the calls of a data centre. */
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

    /** Size of a read unit in bytes: a call counts as one read for each 16 KiB, or part of 16 KiB, that it returns. */
    const val READ_UNIT_BYTES = 16 * 1024
}
