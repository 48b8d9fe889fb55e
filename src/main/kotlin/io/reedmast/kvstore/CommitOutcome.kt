package io.reedmast.kvstore

/** The certain outcome of a [CasTransaction]. */
sealed interface CommitOutcome {
    /** Applied; [revision] is the new version of every key written. */
    data class Applied(val revision: Long) : CommitOutcome

    /**
     * Not applied and never will be: the keys in [failedPaths] no longer had the versions that were required.
     *
     * A transaction that was applied, but whose answer was lost and whose puts have all been replaced since, is also
     * reported as a conflict: read the keys again before deciding anything.
     */
    data class Conflict(val failedPaths: Set<String>) : CommitOutcome

    /** The store refuses the transaction itself as malformed, because of [reason]. */
    data class Refused(val reason: String) : CommitOutcome
}
