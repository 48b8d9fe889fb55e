package io.reedmast.kvstore

/** The store's reply to one attempt to commit a [StoreTransaction]. */
sealed interface CommitReply {
    /** Executed; [revision] is the new version of everything written. */
    data class Applied(val revision: Long) : CommitReply

    /** Not executed: the keys in [paths] do not have the versions that the preconditions ask for. */
    data class PreconditionFailed(val paths: Set<String>) : CommitReply

    /** Not executed, and refused again however often it is sent, for [reason]. */
    data class Malformed(val reason: String) : CommitReply

    /** Certainly not executed: worth sending again after a pause. */
    data object NotExecuted : CommitReply

    /** Not executed, for a limit: the store is there, and wants fewer requests or writes. */
    data object RateLimited : CommitReply

    /** May have been executed, or may yet be. */
    data object Unknown : CommitReply
}
