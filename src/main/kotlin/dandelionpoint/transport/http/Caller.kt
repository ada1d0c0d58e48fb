package dandelionpoint.transport.http

/** The party that a token identifies. */
internal sealed interface Caller {
    /** An operator; [name] is written to the history and the audit log. */
    data class Operator(val name: String) : Caller

    /** A client of the team [name]. */
    data class Team(val name: String) : Caller
}
