package io.reedmast.kvstore

/** What became of a [CasTransaction], once that is certain. */
sealed interface CommitOutcome {
    /** Applied; [revision] is the new version of everything written. */
    data class Applied(val revision: Long) : CommitOutcome

    /**
     * Not applied and never will be: the keys in [failed] had moved on.
     *
     * A transaction that was applied, but whose answer was lost and whose puts have all been replaced since, is
     * reported in the same way: read the keys again before deciding anything.
     */
    data class Conflict(val failedPaths: Set<String>) : CommitOutcome

    /** The store finds the transaction itself impossible, for [reason]. */
    data class Refused(val reason: String) : CommitOutcome
}
