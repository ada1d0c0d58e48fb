package dandelionpoint.cli

/** Exit codes of the commands, as listed in docs/api.md. [USAGE] is picocli's own code for usage errors. */
internal object ExitCode {
    const val OK = 0
    const val REFUSED = 1
    const val USAGE = 2
    const val OUTCOME_UNKNOWN = 3
    const val CANNOT_CONNECT = 4
}
