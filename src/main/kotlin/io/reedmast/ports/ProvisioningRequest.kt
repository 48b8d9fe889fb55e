package io.reedmast.ports

import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.flag
import io.reedmast.wire.map
import io.reedmast.wire.optionalText
import io.reedmast.wire.optionalTexts

/** A request to the cloud. The request name is never used for another request, by any controller. */
data class ProvisioningRequest(val requestName: String, val typeName: String, val zone: String, val spot: Boolean, val count: Int)
