package io.reedmast.cluster

/** What became of a change to a record of a shard's machines. */
internal sealed interface MachineListOutcome {
    /** It is stored, and the tables show it. */
    data object Stored : MachineListOutcome

    /** It was not sent: the record would be too large, or another change to it is under way. */
    data object NotSent : MachineListOutcome

    /**
     * The store did not apply it, or another change has replaced it since; the record has been read again before this
     * is reported.
     */
    data object NotApplied : MachineListOutcome
}
