package io.reedmast.autoscaling

/** The outcome of a write that adds machines to a shard. */
sealed interface AddMachinesResult {
    /** The write is stored and contains the machines [names], which may be only some of those it was to add. */
    data class Stored(val names: Set<String>) : AddMachinesResult

    /** This controller has not sent anything. */
    data object NotSent : AddMachinesResult

    /**
     * The store did not apply the write, or applied it and the record has been replaced since. Which of the two becomes
     * known once the watch has delivered everything that was stored up to this answer.
     */
    data object Unconfirmed : AddMachinesResult
}
