package io.reedmast.ports

/** The outcome of a [ProvisioningRequest]. */
sealed interface ProvisioningResult {
    /** The machines that were rented, by name. */
    data class Machines(val names: List<String>) : ProvisioningResult

    /** The cloud has no such machines now, or refuses the request as it is. */
    data object NoCapacity : ProvisioningResult

    /** The outcome is not known, or nothing was done: the same request may be sent again. */
    data object Failed : ProvisioningResult
}
