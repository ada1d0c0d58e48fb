package dandelionpoint.protocol

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll

/**
 * Guards against ids that lose their creation time, and against the acceptance of other ids. The owner of a shard decides by the creation
 * time whether it may start an id, so a wrong time could make a submission start twice.
 */
class SubmissionIdTest :
    DescribeSpec({
        describe("an id") {
            it("keeps its creation time, which decides whether a VM may start it") {
                checkAll(Arb.long(0L, (1L shl 48) - 1), Arb.long(), Arb.long()) { ms, high, low ->
                    val id = SubmissionId.create(ms, high, low)
                    id.createdAtMs shouldBe ms
                    SubmissionId.parse(id.text) shouldBe id
                }
            }
            it("is refused unless it is a UUID version 7") {
                SubmissionId.parse("not-an-id") shouldBe null
                SubmissionId.parse("7f9c2e4e-6a0e-4f0e-9d6c-0d1f6b1c2a3b") shouldBe null
            }
        }
    })
