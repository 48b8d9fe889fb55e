package io.reedmast.kvstore

sealed interface CommitReply {
    data class Applied(val revision: Long) : CommitReply

    data class PreconditionFailed(val paths: Set<String>) : CommitReply

    data class Malformed(val reason: String) : CommitReply

    /** Certainly not executed: worth sending again after a pause. */
    data object NotExecuted : CommitReply

    /** Not executed, for a limit: the service is there, and wants less. */
    data object RateLimited : CommitReply

    /** May have been executed, or may yet be. */
    data object Unknown : CommitReply
}
