package io.reedmast.rollout

/** The outcome of an operator's action. */
sealed interface AdministrationResult {
    /** The change is stored. */
    data object Done : AdministrationResult

    /** Nothing was changed, for [reason]. */
    data class Refused(val reason: String) : AdministrationResult
}

/** Which operator requests an action, and the reason given for it. */
data class Attribution(val by: String, val reason: String)
