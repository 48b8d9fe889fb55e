package io.reedmast.kvstore

/** The store's reply to one attempt to commit a [StoreTransaction]. */
sealed interface CommitReply {
    /** Executed; [revision] is the new version of every key written. */
    data class Applied(val revision: Long) : CommitReply

    /** Not executed: the keys in [paths] do not have the versions that the preconditions ask for. */
    data class PreconditionFailed(val paths: Set<String>) : CommitReply

    /** Not executed because of [reason], and refused again however often it is sent. */
    data class Malformed(val reason: String) : CommitReply

    /** Certainly not executed; worth sending again after a pause. */
    data object NotExecuted : CommitReply

    /** Not executed because of a rate limit: the store is reachable, but must be sent fewer requests or writes. */
    data object RateLimited : CommitReply

    /** May have been executed, or may still be. */
    data object Unknown : CommitReply
}
