package io.reedmast.ports

/**
 * A request to rent [count] machines.
 *
 * @property requestName makes repetitions idempotent: no controller ever uses it for another request
 * @property typeName the label of the machine type
 * @property spot whether the cloud may take the machines back at any time
 */
data class ProvisioningRequest(
    val requestName: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val count: Int,
)
