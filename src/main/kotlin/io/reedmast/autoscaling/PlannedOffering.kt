package io.reedmast.autoscaling

import io.reedmast.settings.ShardId

/** Machines that one shard is to get. */
internal data class ShardAllocation(val shard: ShardId, val machineCount: Int)

/** Machines of one offering that are to be requested, by the shards they are for. */
internal data class PlannedOffering(val offering: InstanceOffering, val allocations: List<ShardAllocation>) {
    /** How many machines are to be requested, for all shards together. */
    val machineCount: Int get() = allocations.sumOf { it.machineCount }

    /** As much of the plan as [maxMachines] machines are: the first shards get all of theirs. */
    fun limitedTo(maxMachines: Int): PlannedOffering {
        var remaining = maxMachines
        val limited = ArrayList<ShardAllocation>()
        for (allocation in allocations) {
            val machineCount = minOf(allocation.machineCount, remaining)
            if (machineCount <= 0) break
            remaining -= machineCount
            limited.add(ShardAllocation(allocation.shard, machineCount))
        }
        return PlannedOffering(offering, limited)
    }
}

/** How many machines one request to the cloud may be for. */
internal const val MAX_MACHINES_PER_REQUEST = 50
