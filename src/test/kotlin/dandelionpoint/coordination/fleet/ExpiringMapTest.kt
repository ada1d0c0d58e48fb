package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** Guards against answers that are forgotten while the request may still be repeated, and against a map that grows without limit. */
internal class ExpiringMapTest :
    DescribeSpec({
        describe("an entry") {
            it("is kept until it expires, and removed by a later put") {
                val map = ExpiringMap<String, Int>()
                map.put("a", 1, expiresAt = 100, now = 0)
                map.put("b", 2, expiresAt = 150, now = 99)
                map["a"] shouldBe 1
                map.put("c", 3, expiresAt = 200, now = 100)
                map["a"] shouldBe null
                map["b"] shouldBe 2
            }

            it("that is put again is kept for its new time") {
                val map = ExpiringMap<String, Int>()
                map.put("a", 1, expiresAt = 100, now = 0)
                map.put("a", 2, expiresAt = 300, now = 50)
                map.put("b", 3, expiresAt = 300, now = 200)
                map["a"] shouldBe 2
            }
        }
    })
