package io.reedmast.autoscaling

import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType

/**
 * Plans which offerings cover the demand of all shards together, in the order in which they were first selected.
 * Depends only on its arguments; one instance serves one call of [plan].
 */
internal class ProvisioningPlanner(
    private val machineTypes: Map<String, MachineType>,
    presentMachinesByZone: Map<String, Int>,
    isUnavailable: (InstanceOffering) -> Boolean,
) {
    private val selector = OfferingSelector(machineTypes.values, isUnavailable)

    /** The number of machines of all shards, including those planned so far. */
    private val machineCountByZone = HashMap(presentMachinesByZone)
    private val allocations = LinkedHashMap<InstanceOffering, MutableList<ShardAllocation>>()

    /** Covers the demand of [summaries] in their order. Demand for which there is no offering is left out. */
    fun plan(summaries: List<ShardUsageSummary>): List<PlannedOffering> {
        for (summary in summaries) {
            for (demand in summary.demand) cover(demand, summary.shard)
        }
        return allocations.map { (offering, byShard) -> PlannedOffering(offering, byShard) }
    }

    /** Spreads the machines over zones, so that only some of them are lost if a zone is cut off. */
    private fun cover(demand: Demand, shard: ShardId) {
        var remaining = demand
        while (remaining.taskCount > 0) {
            val selected = selector.select(remaining, machineCountByZone) ?: break
            val machineType = machineTypes.getValue(selected.offering.typeName)
            val machineCount = machinesInOneZone(demand, selected.machineCount, machineType.zones.size)
            machineCountByZone.merge(selected.offering.zone, machineCount, Int::plus)
            allocations.getOrPut(selected.offering) { ArrayList() }.add(ShardAllocation(shard, machineCount))
            val coveredTasks = machineCount * remaining.tasksPerMachine(machineType)
            remaining = remaining.copy(taskCount = remaining.taskCount - coveredTasks)
        }
    }

    /** How many of [machineCount] machines to take from the selected zone before the next one is selected. */
    private fun machinesInOneZone(demand: Demand, machineCount: Int, zoneCount: Int): Int =
        if (demand.zone != null || zoneCount < 2) {
            minOf(machineCount, MAX_MACHINES_PER_REQUEST)
        } else {
            minOf(machineCount, maxOf(MIN_MACHINES_IN_ZONE, machineCount / zoneCount))
        }

    private companion object {
        const val MIN_MACHINES_IN_ZONE = 4
    }
}
