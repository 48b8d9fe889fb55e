package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.Placement
import io.reedmast.settings.TeamId
import io.reedmast.sim.World
import io.reedmast.wire.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GangPackingTest {
    private val machineType = MachineType("m", 4.0, 0.0, 64.0, 50.0, 0.5, 1.0, 0.3, 20.0, listOf("x", "y"))
    private var machineCount = 0

    private fun machine(zone: String, spot: Boolean = false) =
        Machine(MachineRecord("host-${machineCount++}", "m", zone, spot), machineType, 0L, 0L)

    private fun gang(tasks: Int, vararg args: Pair<String, String>) =
        Job(World.spec("wk-1", mapOf("kind" to "gang", "tasks" to "$tasks") + args), TeamId(0), 16, 0L, 1L)

    private fun fill(machine: Machine, cpus: Int) =
        Job(World.spec("wk-9", mapOf("tasks" to "$cpus")), TeamId(0), 16, 0L, 1L).let { job ->
            repeat(cpus) { job.add(Placement(job, it, 1L, machine, 0L)) }
        }

    private fun tasksByZone(assignment: GangAssignment?) =
        assignment?.tasksByMachine?.entries?.groupBy({ it.key.record.zone }, { it.value })?.mapValues { it.value.sum() }

    @Test
    fun `a gang is placed as a whole or not at all`() {
        val machines = listOf(machine("x"), machine("x"))
        assertEquals(8, packGang(gang(8), machines) { true }?.tasksByMachine?.values?.sum())
        fill(machines[0], 1)
        assertNull(packGang(gang(8), machines) { true })
    }

    @Test
    fun `free capacity in several zones is of no use to a gang that needs one zone`() {
        val machines = listOf(machine("x"), machine("y"))
        assertNull(packGang(gang(6, "oneZone" to "true"), machines) { true })
        assertEquals(mapOf("x" to 4, "y" to 2), tasksByZone(packGang(gang(6), machines) { true }))
    }

    @Test
    fun `a spread gang has at most half of its tasks in one zone`() {
        val machines = listOf(machine("x"), machine("x"), machine("y"))
        assertEquals(mapOf("x" to 4, "y" to 3), tasksByZone(packGang(gang(7, "spread" to "true"), machines) { true }))
        assertNull(packGang(gang(7, "spread" to "true"), machines.take(2)) { true })
    }

    @Test
    fun `gangs that do not allow spot are kept off spot machines, and all gangs off machines they must not use`() {
        val spot = machine("x", spot = true)
        assertNull(packGang(gang(2), listOf(spot)) { true })
        assertEquals(2, packGang(gang(2, "spot" to "true"), listOf(spot)) { true }?.tasksByMachine?.get(spot))
        assertNull(packGang(gang(2, "spot" to "true"), listOf(spot)) { false })
    }

    @Test
    fun `the zone whose machines have the image is preferred`() {
        val cold = machine("x")
        val warm = machine("y").apply { recordImage("img", 0.1) }
        val job = gang(3, "oneZone" to "true", "imageGb" to "5")
        assertEquals(setOf(warm), packGang(job, listOf(cold, warm)) { true }?.tasksByMachine?.keys)
    }

    @Test
    fun `zone rules that the available zones cannot satisfy are recognized`() {
        assertTrue(areZoneRulesUnsatisfiable(gang(2, "oneZone" to "true", "spread" to "true").spec, setOf("x", "y")))
        assertTrue(areZoneRulesUnsatisfiable(gang(3, "spread" to "true").spec, setOf("x")))
        assertFalse(areZoneRulesUnsatisfiable(gang(3, "spread" to "true").spec, setOf("x", "y")))
        assertFalse(areZoneRulesUnsatisfiable(gang(3, "oneZone" to "true").spec, setOf("x")))
    }
}
