package dandelionpoint.transport.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain

/**
 * Guards against a token that is accepted for the wrong caller, for example because two lines contain the same one, and against error
 * messages that reveal a token by quoting an invalid line.
 */
class TokenFileTest :
    DescribeSpec({
        val operatorToken = "operator-token-0001"
        val teamToken = "team-token-00000002"

        describe("a token file") {
            it("identifies operators and teams, and no caller for an unknown token or another scheme") {
                val text = "# comment\n\n$operatorToken operator:ana\n$teamToken lookups\n"
                val tokens = TokenFile.parse("tokens", text).getOrNull()
                tokens?.caller("Bearer $operatorToken") shouldBe Caller.Operator("ana")
                tokens?.caller("bearer $teamToken") shouldBe Caller.Team("lookups")
                listOf(null, "", operatorToken, "Basic $operatorToken", "Bearer ", "Bearer ${operatorToken}x").forEach {
                    tokens?.caller(it) shouldBe null
                }
            }
            it("with errors is refused with the line numbers and without revealing a token") {
                val text = "short operator\n$operatorToken operator\n$operatorToken lookups\n$teamToken Bad:Name\n$teamToken"
                val errors = TokenFile.parse("tokens", text).leftOrNull().orEmpty()
                errors.map { it.substringBefore(": ") } shouldBe listOf("tokens:1", "tokens:3", "tokens:4", "tokens:5")
                listOf(operatorToken, teamToken).forEach { errors.joinToString() shouldNotContain it }
                errors.first() shouldContain "16 to 256"
            }
        }
    })
