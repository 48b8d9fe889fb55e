package io.reedmast.gangs

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.Placement
import io.reedmast.settings.TeamId
import io.reedmast.sim.World
import io.reedmast.wire.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class GangReservationsTest {
    private val machineType = MachineType("m", 4.0, 0.0, 64.0, 50.0, 0.5, 1.0, 0.3, 20.0, listOf("x", "y"))
    private val reservations = GangReservations()
    private val machines = (0 until 8).map {
        Machine(MachineRecord("host-$it", "m", if (it < 4) "x" else "y", false), machineType, 0L, 0L)
    }

    private fun job(id: String, tasks: Int, kind: String) =
        Job(World.spec(id, mapOf("kind" to kind, "tasks" to "$tasks", "oneZone" to "true")), TeamId(0), 16, 0L, 1L)

    private fun fill(machine: Machine, kind: String) = job("wk-${machine.name}", 4, kind).let { other ->
        repeat(4) { other.add(Placement(other, it, 1L, machine, 0L)) }
    }

    @Test
    fun `machines of one zone on which arrays will end are reserved for a gang`() {
        machines.forEach { fill(it, if (it.record.zone == "x") "service" else "array") }
        val gang = job("wk-1", 8, "gang")
        reservations.reserve(gang, machines, 0L)
        val reserved = reservations.machinesReservedFor(gang)
        assertEquals(listOf("y", "y"), reserved.map { it.record.zone })
        assertTrue(reserved.all { reservations.isReservedForOther(job("wk-2", 1, "array"), it) })
        assertFalse(reserved.any { reservations.isReservedForOther(gang, it) })
    }

    @Test
    fun `capacity for the next gang is reserved on machines that have its image, and arrays are kept off it`() {
        machines[5].recordImage("img", 0.1)
        reservations.reserveForExpectedGangs(listOf(job("wk-1", 4, "gang").spec), expectedGangs = 0.0, machines)
        assertTrue(reservations.isReservedForOther(job("wk-2", 1, "array"), machines[5]))
        assertFalse(reservations.isReservedForOther(job("wk-3", 2, "gang"), machines[5]))
        assertEquals(1, machines.count { reservations.isReservedForOther(job("wk-2", 1, "array"), it) })
        reservations.reserveForExpectedGangs(emptyList(), expectedGangs = 0.0, machines)
        assertTrue(reservations.isEmpty)
    }

    @Test
    fun `a reservation expires, and cannot be renewed at once`() {
        val gang = job("wk-1", 8, "gang")
        reservations.reserve(gang, machines, 0L)
        assertFalse(reservations.isEmpty)
        reservations.removeExpired(26_000L)
        assertTrue(reservations.isEmpty)
        reservations.reserve(gang, machines, 26_000L)
        assertTrue(reservations.isEmpty)
        reservations.removeExpired(51_000L)
        reservations.reserve(gang, machines, 51_000L)
        assertFalse(reservations.isEmpty)
    }

    @Test
    fun `all reservations together hold at most a fraction of the machines`() {
        val gangs = (1..4).map { job("wk-$it", 8, "gang") }
        gangs.forEach { reservations.reserve(it, machines, 0L) }
        assertEquals(listOf(2, 2, 0, 0), gangs.map { reservations.machinesReservedFor(it).size })
    }

    @Test
    fun `a gang that has been placed has no reservation`() {
        val gang = job("wk-1", 4, "gang")
        reservations.reserve(gang, machines, 0L)
        repeat(4) { gang.add(Placement(gang, it, 1L, machines[0], 0L)) }
        reservations.removeExpired(100L)
        assertTrue(reservations.isEmpty)
    }
}
