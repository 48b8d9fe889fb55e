package io.reedmast.cluster

import io.reedmast.model.MachineDirectory
import io.reedmast.settings.ShardId

/** Looks up the addresses at which the workers of a shard can be called. */
internal class WorkerAddresses(private val machines: MachineTable, private val machineDirectory: MachineDirectory) {
    /** The addresses known here of those machines of [shard] that have ever been up. */
    fun of(shard: ShardId): List<String> =
        machines.machinesOf(shard).mapNotNull { machineDirectory.factsOf(it.name).addr }.toList()
}
