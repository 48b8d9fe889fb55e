package io.reedmast.cluster

import io.reedmast.model.MachineDirectory
import io.reedmast.settings.ShardId

/** Where the workers of a shard can be called. */
internal class WorkerAddresses(private val machines: MachineTable, private val machineDirectory: MachineDirectory) {
    /** The addresses of the shard's machines that have ever been up, as far as they are known here. */
    fun of(shard: ShardId): List<String> =
        machines.machinesOf(shard).mapNotNull { machineDirectory.factsOf(it.name).addr }.toList()
}
