package io.reedmast.rollout

/** What became of an operator's act. */
sealed interface ActResult {
    /** The change is stored. */
    data object Done : ActResult

    /** Nothing was changed, and why. */
    data class Refused(val reason: String) : ActResult
}

/** An operator, and the reason that he gives. */
data class Act(val by: String, val why: String)
