package io.reedmast.rollout

/** The result of reading the state of the rollout. */
sealed interface StatusResult {
    /** The state according to the stored records. */
    class Known(val status: RolloutStatus) : StatusResult

    /** The store did not answer or a record cannot be read, as [reason] states. */
    class Unknown(val reason: String) : StatusResult
}
