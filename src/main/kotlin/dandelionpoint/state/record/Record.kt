/* Outcome of a submission, as kept in memory and written to the table. */
package dandelionpoint.state.record

import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.SubmissionId
import kotlinx.serialization.Serializable

/**
 * A finished submission. Results up to the inline limit of the settings are in [view]. Larger ones are written to the object
 * [objectKey], and the stored [view] has none.
 */
@Serializable
internal data class Record(val id: SubmissionId, val team: String, val digest: String, val view: JobView, val objectKey: String? = null) {
    /** Approximate size of the inline results in bytes: the number of characters of their text. */
    val resultBytes: Long
        get() = view.results.orEmpty().sumOf { it.length.toLong() }

    /** This record without its results, to be read again from [objectKey] or from the record's row. */
    fun withoutResults(): Record = copy(view = view.copy(results = null))
}
