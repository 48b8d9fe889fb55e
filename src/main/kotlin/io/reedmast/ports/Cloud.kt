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

    /**
     * Returns machines; [done] gets true only if the cloud has confirmed that they are gone, and false also if the call
     * was not made or its answer was lost.
     */
    fun returnMachines(machineNames: List<String>, done: (Boolean) -> Unit)

    /** Lists all rented machines; [done] gets null if the list could not be read. */
    fun listMachines(done: (List<ListedMachine>?) -> Unit)

    /** Reads which types of machines there are; [done] gets null if they could not be read. */
    fun machineTypes(done: (List<MachineType>?) -> Unit)
}
