package io.reedmast.kvstore

/** What the sender of a batch of transactions has to do next, after a pause of so many milliseconds. */
sealed interface ResolutionStep {
    /** Commit [transaction], and hand the reply to [InDoubtResolution.onReply]. */
    data class Send(val transaction: StoreTransaction, val pauseMs: Long) : ResolutionStep

    /** Read the key [path], and hand the result to [InDoubtResolution.onReadResult]. */
    data class Read(val path: String, val pauseMs: Long) : ResolutionStep

    /** Nothing: the outcome of every transaction has been delivered. */
    data object Done : ResolutionStep
}
