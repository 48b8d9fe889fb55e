package io.reedmast.cluster

/** The outcome of a change to a machine-list record. */
internal sealed interface MachineListOutcome {
    /** The change is stored, and the tables show it. */
    data object Stored : MachineListOutcome

    /** The change was not sent: the record would be too large, or another change to it is in progress. */
    data object NotSent : MachineListOutcome

    /**
     * The store did not apply the change, or another change has replaced it since; the record has been reread before
     * this is reported.
     */
    data object NotApplied : MachineListOutcome
}
