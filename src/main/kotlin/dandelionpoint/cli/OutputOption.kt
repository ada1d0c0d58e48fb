package dandelionpoint.cli

import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException

/** Output format, named in lower case on the command line. */
internal enum class OutputFormat {
    JSON,
    TABLE,
    ;

    override fun toString(): String = name.lowercase()
}

/** Completion candidates of `--output`. */
internal class OutputFormatNames : ArrayList<String>(OutputFormat.entries.map { it.toString() })

internal class OutputFormatConverter : ITypeConverter<OutputFormat> {
    override fun convert(value: String): OutputFormat = OutputFormat.entries.find { it.toString() == value }
        ?: throw TypeConversionException("'$value' is not one of ${OutputFormat.entries.joinToString()}")
}

/** The option `--output`. */
internal class OutputOption {
    @Option(
        names = ["--output"],
        paramLabel = "FORMAT",
        defaultValue = "table",
        converter = [OutputFormatConverter::class],
        completionCandidates = OutputFormatNames::class,
        description = ["One of \${COMPLETION-CANDIDATES} (default: \${DEFAULT-VALUE})."],
    )
    var format: OutputFormat = OutputFormat.TABLE

    val isJson: Boolean get() = format == OutputFormat.JSON
}
