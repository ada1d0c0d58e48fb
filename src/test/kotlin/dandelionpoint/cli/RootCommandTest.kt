package dandelionpoint.cli

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import picocli.CommandLine

/**
 * Guards against a subcommand that cannot be invoked. A process builds a command line with only its own subcommand, found by name, so a
 * name that differs from the one in the annotation would make it unavailable.
 */
class RootCommandTest :
    DescribeSpec({
        describe("the command line") {
            it("lists each subcommand with the name in its annotation, so that none is left out when it is invoked") {
                (processCommands + clientCommands).forEach { CommandLine(it.create()).commandName shouldBe it.name }
            }

            it("has all subcommands unless the name is that of a process, so that the usage text is complete") {
                val names = (processCommands + clientCommands).map { it.name }
                listOf(null, "--help", "submit", "generate-completion", "unknown").forEach {
                    commandLine(it).subcommands.keys shouldContainAll names
                }
            }

            it("has only the subcommand that is named if that runs a process") {
                commandLine("fleet").subcommands.keys shouldBe setOf("fleet")
            }
        }
    })
