package io.reedmast.ports

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.settings.ControllerId
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand

/** What a rental request came to. */
sealed interface ProvisioningResult {
    data class Machines(val names: List<String>) : ProvisioningResult

    data object NoCapacity : ProvisioningResult

    /** Nothing is known, or nothing was done: the same request may be sent again. */
    data object Failed : ProvisioningResult
}
