package dandelionpoint.cli

import kotlinx.serialization.json.JsonPrimitive
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

@Command(
    name = "teams",
    description = ["Lists teams and sets their quotas."],
    mixinStandardHelpOptions = true,
    subcommands = [TeamsListCommand::class, TeamsSetCommand::class],
    synopsisSubcommandLabel = "COMMAND",
)
internal class TeamsCommand

@Command(name = "list", description = ["Lists all teams."], mixinStandardHelpOptions = true, footer = ["%nExample:  teams list"])
internal class TeamsListCommand : ClientCommand() {
    override fun call(): Int = run(ApiCall("GET", listOf("v1", "teams")))
}

@Command(
    name = "set",
    description = ["Creates a team or sets its weight. The share of a team is its weight over the sum of all weights."],
    mixinStandardHelpOptions = true,
    footer = ["%nExamples:", "  teams set lookups 4", "  teams set trial 0      # may not run"],
)
internal class TeamsSetCommand : VersionedCommand() {
    @Parameters(index = "0", paramLabel = "NAME", description = ["Name of the team."])
    var name: String = ""

    @Parameters(index = "1", paramLabel = "WEIGHT", description = ["Weight; 0 = may not run."])
    var weight: Int = 0

    override fun call(): Int = sendChange("PUT", listOf("v1", "teams", name), mapOf("weight" to JsonPrimitive(weight)))
}
