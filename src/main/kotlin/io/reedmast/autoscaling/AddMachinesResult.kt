package io.reedmast.autoscaling

/** What became of a write that adds machines to a shard. */
sealed interface AddMachinesResult {
    /** It is stored and holds the machines called [names], which need not be all that were asked for. */
    data class Stored(val names: Set<String>) : AddMachinesResult

    /** Nothing has left this controller. */
    data object NotSent : AddMachinesResult

    /**
     * The store did not apply it, or it was applied and has been replaced since. Which of them is known once the watch
     * has shown all that was stored by now.
     */
    data object Unconfirmed : AddMachinesResult
}
