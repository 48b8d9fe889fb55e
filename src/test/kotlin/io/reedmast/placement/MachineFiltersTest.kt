package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.placement.PlacementFixtures.job
import io.reedmast.placement.PlacementFixtures.machine
import io.reedmast.placement.PlacementFixtures.place
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MachineFiltersTest {
    private val noHeadroomLeft = ServiceHeadroom(freeCpus = 2.0, reservedCpus = 2.0)

    private fun request(
        job: Job,
        urgency: Urgency = Urgency.NORMAL,
        headroom: ServiceHeadroom = ServiceHeadroom(freeCpus = 100.0, reservedCpus = 0.0),
        isOverpriced: (Machine) -> Boolean = { false },
    ) = TaskRequest(job, urgency, headroom, isOverpriced)

    @Test
    fun `a task needs free resources`() {
        val machine = machine()
        assertTrue(hasFreeResources(request(job("wk-1", "cpus" to "4")), machine))
        place(job("wk-2"), machine, taskCount = 1)
        assertFalse(hasFreeResources(request(job("wk-1", "cpus" to "4")), machine))
    }

    @Test
    fun `spot machines are for jobs that allow spot, and a job with a zone stays in it`() {
        assertFalse(isOfEligibleKind(request(job()), machine(spot = true)))
        assertTrue(isOfEligibleKind(request(job("wk-1", "spot" to "true")), machine(spot = true)))
        assertFalse(isOfEligibleKind(request(job("wk-1", "zone" to "y")), machine(zone = "x")))
    }

    @Test
    fun `only late work may use an overpriced machine`() {
        val normal = request(job(), Urgency.NORMAL) { true }
        val late = request(job(), Urgency.LATE) { true }
        assertEquals(listOf(false, true), listOf(normal, late).map { isAffordable(it, machine()) })
    }

    @Test
    fun `only services and late work may use the headroom on machines with services`() {
        val serviceMachine = machine()
        place(job("wk-9", "kind" to "service"), serviceMachine, taskCount = 1)
        val array = request(job(), headroom = noHeadroomLeft)
        val lateArray = request(job(), Urgency.LATE, noHeadroomLeft)
        val service = request(job("wk-2", "kind" to "service"), headroom = noHeadroomLeft)
        assertFalse(leavesServiceHeadroom(array, serviceMachine))
        assertTrue(leavesServiceHeadroom(lateArray, serviceMachine))
        assertTrue(leavesServiceHeadroom(service, serviceMachine))
        assertTrue(leavesServiceHeadroom(array, machine()))
    }

    @Test
    fun `only a starving job may use a machine where it failed`() {
        val machine = machine()
        val job = job().apply { failedOn.add(machine) }
        val accepted = Urgency.entries.filter { hasNotFailedOnMachine(request(job, it), machine) }
        assertEquals(listOf(Urgency.STARVING), accepted)
    }

    @Test
    fun `a job that needs one zone stays in the zone of its other tasks`() {
        val job = job("wk-1", "oneZone" to "true")
        place(job, machine(zone = "x"), taskCount = 1)
        assertTrue(isInAllowedZone(request(job), machine(zone = "x")))
        assertFalse(isInAllowedZone(request(job), machine(zone = "y")))
    }

    @Test
    fun `of machines with the same score the first is selected`() {
        val machines = listOf(machine("host-0"), machine("host-1"))
        assertEquals(machines[0], selectMachine(request(job()), machines))
        assertNull(selectMachine(request(job("wk-1", "cpus" to "5")), machines))
    }

    @Test
    fun `the fullest machine that has the image is selected`() {
        val empty = machine("host-0").apply { recordImage("img", 0.1) }
        val fuller = machine("host-1").apply { recordImage("img", 0.1) }
        place(job("wk-9"), fuller, taskCount = 2)
        assertEquals(fuller, selectMachine(request(job()), listOf(empty, fuller)))
    }
}
