package io.reedmast.rollout

/** What came of reading the state of the rollout. */
sealed interface StatusResult {
    /** The state as its records give it. */
    class Known(val status: RolloutStatus) : StatusResult

    /** The store did not answer, or a record cannot be read; [reason] says which. */
    class Unknown(val reason: String) : StatusResult
}
