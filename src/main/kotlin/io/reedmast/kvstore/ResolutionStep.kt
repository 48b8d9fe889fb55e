package io.reedmast.kvstore

/** What the sender of a batch of transactions must do next, after a pause of `pauseMs` milliseconds. */
sealed interface ResolutionStep {
    /** Commit [transaction], and pass the reply to [InDoubtResolution.onReply]. */
    data class Send(val transaction: StoreTransaction, val pauseMs: Long) : ResolutionStep

    /** Read the key [path], and pass the result to [InDoubtResolution.onReadResult]. */
    data class Read(val path: String, val pauseMs: Long) : ResolutionStep

    /** Nothing: the outcome of every transaction has been delivered. */
    data object Done : ResolutionStep
}
