package io.reedmast.rollout

/** What became of an operator's act. */
sealed interface AdministrationResult {
    /** The change is stored. */
    data object Done : AdministrationResult

    /** Nothing was changed, and why. */
    data class Refused(val reason: String) : AdministrationResult
}

/** An operator, and the reason that he gives. */
data class Attribution(val by: String, val reason: String)
