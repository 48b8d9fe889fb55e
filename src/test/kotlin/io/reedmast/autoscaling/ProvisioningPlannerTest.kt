package io.reedmast.autoscaling

import io.reedmast.settings.ShardId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ProvisioningPlannerTest {
    private val machineType = machineType("m", cpus = 4.0, hourlyPrice = 1.0, spotPrice = null)

    @Test
    fun `machines are spread over the zones, beginning with the one that has the fewest`() {
        val planned = plan(listOf(summary(0, demand(taskCount = 40))), mapOf("x" to 3))

        assertEquals(
            mapOf("y" to 6, "x" to 4),
            planned.associate { it.offering.zone to it.machineCount },
        )
    }

    @Test
    fun `a demand for one zone is covered there, in portions of at most one request`() {
        val planned = plan(listOf(summary(0, demand(taskCount = 240, zone = "x"))))

        assertEquals(listOf("x"), planned.map { it.offering.zone })
        assertEquals(listOf(50, 10), planned.single().allocations.map { it.machineCount })
    }

    @Test
    fun `one offering serves several shards, the first ones first if there are too few machines`() {
        val planned = plan(listOf(summary(1, demand(taskCount = 16, zone = "x")), summary(0, demand(8, zone = "x"))))

        assertEquals(
            listOf(ShardAllocation(ShardId(1), 4), ShardAllocation(ShardId(0), 2)),
            planned.single().allocations,
        )
        assertEquals(
            listOf(ShardAllocation(ShardId(1), 4), ShardAllocation(ShardId(0), 1)),
            planned.single().limitedTo(5).allocations,
        )
        assertEquals(listOf(ShardAllocation(ShardId(1), 4)), planned.single().limitedTo(4).allocations)
    }

    @Test
    fun `demand that no offering covers is left out`() {
        val tooLarge = demand(taskCount = 1).copy(maxCpus = 5.0)

        assertEquals(emptyList<PlannedOffering>(), plan(listOf(summary(0, tooLarge))))
    }

    private fun plan(summaries: List<ShardUsageSummary>, presentMachinesByZone: Map<String, Int> = emptyMap()) =
        ProvisioningPlanner(mapOf("m" to machineType), presentMachinesByZone) { false }.plan(summaries)

    private fun summary(shard: Int, demand: Demand) = ShardUsageSummary(
        shard = ShardId(shard),
        machinesVersion = 1L,
        usage = emptyMap(),
        ratio = 0.0,
        demand = listOf(demand),
        idle = emptyList(),
        drainable = emptyList(),
        starvingJobs = emptyList(),
        unavailableZones = emptyList(),
    )
}
