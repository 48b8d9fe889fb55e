package io.reedmast.ports

import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType

/** The cloud from which machines are rented; each call delivers its result later, on the event loop. */
interface Cloud {
    /**
     * Rents the machines that [request] describes. Repeating a call with the same request name rents nothing twice;
     * [done] gets [ProvisioningResult.Failed] if the outcome is not known.
     */
    fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit)

    /** Returns machines to the cloud; they are sure to be gone only if [done] gets [ReturnResult.CONFIRMED]. */
    fun returnMachines(machineNames: List<String>, done: (ReturnResult) -> Unit)

    /** Lists all rented machines. */
    fun listMachines(done: (CloudListing<ListedMachine>) -> Unit)

    /** Reads which types of machines there are. */
    fun machineTypes(done: (CloudListing<MachineType>) -> Unit)
}
