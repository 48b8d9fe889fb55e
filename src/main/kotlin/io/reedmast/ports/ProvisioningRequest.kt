package io.reedmast.ports

import io.reedmast.wire.count

/** A request to the cloud. The request name is never used for another request, by any controller. */
data class ProvisioningRequest(
    val requestName: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val count: Int,
)
