package io.reedmast.kvstore

sealed interface CommitOutcome {
    /** Applied; [revision] is the new version of everything written. */
    data class Applied(val revision: Long) : CommitOutcome

    /** Not applied and never will be: these keys had moved on. */
    data class Conflict(val failed: Set<String>) : CommitOutcome

    /** The store finds the change itself impossible. */
    data class Refused(val reason: String) : CommitOutcome
}
