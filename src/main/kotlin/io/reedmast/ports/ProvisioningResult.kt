package io.reedmast.ports

/** What a rental request came to. */
sealed interface ProvisioningResult {
    data class Machines(val names: List<String>) : ProvisioningResult

    data object NoCapacity : ProvisioningResult

    /** Nothing is known, or nothing was done: the same request may be sent again. */
    data object Failed : ProvisioningResult
}
