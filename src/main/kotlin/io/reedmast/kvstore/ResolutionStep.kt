package io.reedmast.kvstore

/** What the sender of a batch of transactions has to do next, after a pause of so many milliseconds. */
sealed interface ResolutionStep {
    /** Commit [transaction], and hand the reply to [InDoubtResolution.replied]. */
    data class Send(val transaction: StoreTransaction, val afterMs: Long) : ResolutionStep

    /** Read the key [path], and hand the result to [InDoubtResolution.read]. */
    data class Read(val path: String, val afterMs: Long) : ResolutionStep

    /** Nothing: the outcome of every transaction has been delivered. */
    data object Done : ResolutionStep
}
