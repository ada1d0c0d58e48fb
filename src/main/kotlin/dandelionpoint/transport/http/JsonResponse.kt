package dandelionpoint.transport.http

import dandelionpoint.coordination.configuration.ChangeRefusal
import dandelionpoint.protocol.Certainty
import dandelionpoint.protocol.ResultCode
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** Status and JSON body of a response. */
internal data class JsonResponse(val status: Int, val body: String) {
    companion object {
        inline fun <reified T> ok(view: T) = JsonResponse(ResultCode.OK.httpStatus, adminJson.encodeToString(view))

        fun refused(code: ResultCode, detail: String = code.advice) =
            JsonResponse(code.httpStatus, adminJson.encodeToString(RefusalBody(code, code.number, code.certainty, detail, code.advice)))

        fun refused(refusal: ChangeRefusal) = JsonResponse(refusal.code.httpStatus, adminJson.encodeToString(refusal))
    }
}

/** Body of a refusal. [certainty] says whether the work may have run, [advice] what the caller should do. */
@Serializable
internal data class RefusalBody(val code: ResultCode, val number: Int, val certainty: Certainty, val detail: String, val advice: String)
