package io.reedmast.autoscaling

import io.reedmast.settings.ShardId

/** The number of machines that one shard is to get. */
internal data class ShardAllocation(val shard: ShardId, val machineCount: Int)

/** Machines of one offering that are to be requested, with the shards that they are for. */
internal data class PlannedOffering(val offering: InstanceOffering, val allocations: List<ShardAllocation>) {
    /** The number of machines to request for all shards together. */
    val machineCount: Int get() = allocations.sumOf { it.machineCount }

    /** The plan reduced to at most [maxMachines] machines: the first shards still get all of theirs. */
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

/** The maximum number of machines per request to the cloud. */
internal const val MAX_MACHINES_PER_REQUEST = 50
