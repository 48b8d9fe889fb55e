package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.sim.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class FreeCapacityTest {
    private val oneCpuEach = World.spec("wk-1", mapOf("tasks" to "9"))

    @Test
    fun `as many tasks as fit are allocated, and what they use is no longer free`() {
        val capacity = capacity(cpus = 4.0)

        assertEquals(3, capacity.allocate(oneCpuEach, 3))
        assertEquals(1.0, capacity.freeCpus)
        assertEquals(1, capacity.allocate(oneCpuEach, 3))
        assertEquals(0, capacity.allocate(oneCpuEach, 3))
    }

    @Test
    fun `memory limits the tasks like CPUs`() {
        val tasksInMemory = 2
        val capacity = capacity(cpus = 4.0, memoryGb = oneCpuEach.memoryGb * tasksInMemory)

        assertEquals(tasksInMemory, capacity.allocate(oneCpuEach, 9))
    }

    @Test
    fun `nothing is allocated to a machine that the job must not run on`() {
        val capacity = capacity(cpus = 4.0, spot = true)

        assertEquals(0, capacity.allocate(oneCpuEach, 1))
        assertEquals(4.0, capacity.freeCpus)
    }

    @Test
    fun `tasks are allocated to one machine after another, and those that do not fit are counted`() {
        val capacities = listOf(capacity(cpus = 4.0), capacity(cpus = 2.0), capacity(cpus = 4.0))

        assertEquals(0, allocateAndCountRemaining(oneCpuEach, 5, capacities))
        assertEquals(listOf(0.0, 1.0, 4.0), capacities.map { it.freeCpus })
        assertEquals(4, allocateAndCountRemaining(oneCpuEach, 9, capacities))
    }

    private fun capacity(cpus: Double, memoryGb: Double = 1000.0, spot: Boolean = false) =
        FreeCapacity(MachineRecord("host-1", "m", "x", spot), cpus, 0.0, memoryGb)
}
