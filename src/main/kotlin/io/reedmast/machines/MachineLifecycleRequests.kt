package io.reedmast.machines

/** What the lifecycle of a shard's machines asks of the cluster; each request is repeated while its cause lasts. */
interface MachineLifecycleRequests {
    /** Removes machines that the cloud has confirmed to be gone from the shard's records. */
    fun removeMachines(machineNames: Set<String>)

    /** Gives empty machines to the shards that they are marked to leave for. */
    fun transferMachines(machineNames: Collection<String>)

    /** Leaves machines that other shards' records name too to these. */
    fun releaseContested(machineNames: Collection<String>)

    /** Asks the other controllers to acquire the shard, since its workers do not reach this one. */
    fun requestFailover()
}
