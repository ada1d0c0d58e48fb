package dandelionpoint.protocol

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Files
import java.nio.file.Path

/**
 * Guards against documents that describe other result codes or paths than the program has, and against codes whose number suggests another
 * certainty than they have. A caller would then repeat work that has run. This happens when a code is added or changed in one place only.
 */
class ResultCodeTest :
    DescribeSpec({
        describe("the documents") {
            it("list every code as the program defines it, so that callers are not misinformed") {
                val rows = Files.readAllLines(Path.of("docs/result-codes.md")).filter { Regex("\\| \\d.*").matches(it) }
                rows shouldContainExactly
                    ResultCode.entries.map { code ->
                        val certainty = code.certainty.name.lowercase().replace('_', ' ')
                        "| ${code.number} | `${code.name}` | $certainty | ${code.httpStatus} | ${code.advice} |"
                    }
            }
            it("have the same codes in openapi.json as the program, and the same paths as the design page") {
                val document = Json.parseToJsonElement(Files.readString(Path.of("docs/openapi.json"))).jsonObject
                val schemas = document.getValue("components").jsonObject.getValue("schemas").jsonObject
                val codes = schemas.getValue("ResultCode").jsonObject.getValue("enum").jsonArray
                codes.map { it.jsonPrimitive.content } shouldContainExactly ResultCode.entries.map { it.name }
                val interfaces = Files.readString(Path.of("docs/design.md")).substringAfter("## 14.").substringBefore("Command line:")
                val named = Regex("/(?:v1|health|metrics)[a-z0-9/{}]*").findAll(interfaces).map { it.value }.toSet()
                document.getValue("paths").jsonObject.keys shouldBe named
            }
        }
        describe("numbers") {
            it("are unique and lie in the range of their certainty") {
                ResultCode.entries.map { it.number }.toSet().size shouldBe ResultCode.entries.size
                val ranges = mapOf(
                    1 to Certainty.NOT_RUN,
                    2 to Certainty.RAN_AND_FAILED,
                    3 to Certainty.OUTCOME_UNKNOWN,
                    4 to Certainty.NOT_RUN,
                )
                ResultCode.entries.forEach { code -> ranges[code.number / 100]?.let { code.certainty shouldBe it } }
            }
        }
    })
