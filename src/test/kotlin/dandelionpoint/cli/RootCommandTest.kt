package dandelionpoint.cli

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import picocli.CommandLine

class RootCommandTest :
    DescribeSpec({
        describe("the command line") {
            it("knows each subcommand by the name of its annotation, so that none is left out when it is called") {
                (processCommands + clientCommands).forEach { CommandLine(it.create()).commandName shouldBe it.name }
            }

            it("has all subcommands unless a process is called, so that the usage text is whole") {
                val names = (processCommands + clientCommands).map { it.name }
                listOf(null, "--help", "submit", "generate-completion", "unknown").forEach {
                    commandLine(it).subcommands.keys shouldContainAll names
                }
            }

            it("has only the process that is called") {
                commandLine("fleet").subcommands.keys shouldBe setOf("fleet")
            }
        }
    })
