package io.reedmast.kvstore

/** What the sender of a batch of changes has to do next, after a pause. */
sealed interface ResolutionStep {
    data class Send(val transaction: StoreTransaction, val afterMs: Long) : ResolutionStep

    data class Read(val path: String, val afterMs: Long) : ResolutionStep

    data object Done : ResolutionStep
}
