package io.reedmast.requests

import io.reedmast.settings.TeamId

/** Whether a submitted job that is not known yet may be stored. */
internal sealed interface AdmissionDecision {
    /** The job may be stored for [team]. */
    data class Admitted(val team: TeamId) : AdmissionDecision

    /** The job can never run as it is described; [reason] is the error text for the user. */
    data class Rejected(val reason: String) : AdmissionDecision

    /** This controller does not know enough at present to decide. */
    data object Undecided : AdmissionDecision
}
