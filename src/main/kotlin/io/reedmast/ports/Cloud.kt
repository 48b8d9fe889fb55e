package io.reedmast.ports

import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType

/** The cloud that rents machines out; each call answers later, on the deciding thread. */
interface Cloud {
    /**
     * Rents the machines that [request] describes. Repeated with the same request name, it rents nothing twice; [done]
     * gets [ProvisioningResult.Failed] if it is not known what became of it.
     */
    fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit)

    /** Returns machines; they are gone only if [done] gets [ReturnResult.CONFIRMED]. */
    fun returnMachines(machineNames: List<String>, done: (ReturnResult) -> Unit)

    /** Lists all rented machines. */
    fun listMachines(done: (CloudListing<ListedMachine>) -> Unit)

    /** Reads which types of machines there are. */
    fun machineTypes(done: (CloudListing<MachineType>) -> Unit)
}
