package io.reedmast.ports

import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType

/** The cloud that rents machines out; each call answers later, on the deciding thread. */
interface Cloud {
    fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit)

    /** Returns machines; [done] gets true only if the cloud has confirmed that they are gone. */
    fun returnMachines(machineNames: List<String>, done: (Boolean) -> Unit)

    /** Lists all rented machines; [done] gets null if the list could not be read. */
    fun listMachines(done: (List<ListedMachine>?) -> Unit)

    /** Reads which types of machines there are; [done] gets null if they could not be read. */
    fun machineTypes(done: (List<MachineType>?) -> Unit)
}
