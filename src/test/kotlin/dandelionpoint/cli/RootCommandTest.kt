package dandelionpoint.cli

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
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

            it("is not needed to start an entry VM with at most a settings file, but for options, files of arguments and other commands") {
                listOf(arrayOf("fleet"), arrayOf("fleet", "settings.json")).forEach { plainFleetCommand(it).shouldNotBeNull() }
                listOf(
                    "",
                    "fleet --help",
                    "fleet @arguments",
                    "fleet a.json b.json",
                    "fleet-demo",
                    "entry a.json",
                    "--help fleet",
                ).forEach {
                    plainFleetCommand(it.split(' ').toTypedArray()).shouldBeNull()
                }
                plainFleetCommand(emptyArray()).shouldBeNull()
            }

            it("reports the same usage error for a settings file that does not exist, with and without the option parser") {
                plainFleetCommand(arrayOf("fleet", "missing.json"))?.call() shouldBe ExitCode.USAGE
                commandLine("fleet").execute("fleet", "missing.json") shouldBe ExitCode.USAGE
            }
        }
    })
