package io.reedmast.machines

/** Requests of a shard's [MachineLifecycle] to the cluster; each is repeated as long as its cause persists. */
interface MachineLifecycleRequests {
    /** Removes machines that the cloud has confirmed to be gone from the shard's records. */
    fun removeMachines(machineNames: Set<String>)

    /** Moves empty machines to the shards that they are marked for. */
    fun transferMachines(machineNames: Collection<String>)

    /** Removes machines that other shards' records contain too from this shard's records. */
    fun releaseContested(machineNames: Collection<String>)

    /** Asks the other controllers to acquire the shard, since its workers do not reach this controller. */
    fun requestFailover()
}
