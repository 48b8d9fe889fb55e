package io.reedmast.autoscaling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class OfferingSelectorTest {
    private val small = machineType("small", cpus = 4.0, hourlyPrice = 1.0, spotPrice = 0.3)
    private val large = machineType("large", cpus = 16.0, hourlyPrice = 3.0, spotPrice = null)

    @Test
    fun `the cheapest machines that hold all tasks are selected`() {
        val selected = select(demand(taskCount = 16))

        assertEquals(OfferingCandidate(InstanceOffering("large", "x", false), 1, 3.0), selected)
    }

    @Test
    fun `a machine that is only partly filled costs its full price`() {
        val selected = select(demand(taskCount = 1))

        assertEquals(OfferingCandidate(InstanceOffering("small", "x", false), 1, 1.0), selected)
    }

    @Test
    fun `work that may use spot machines gets them if they are cheaper, at a surcharge for their risk`() {
        val selected = select(demand(taskCount = 4, spot = true))

        assertEquals(InstanceOffering("small", "x", true), selected?.offering)
        assertEquals(0.3 * 1.2, selected?.hourlyCost)
    }

    @Test
    fun `the zone with the fewest machines is selected among those that are available`() {
        val counts = mapOf("x" to 2, "y" to 1)

        assertEquals("y", select(demand(taskCount = 4), counts)?.offering?.zone)
        assertEquals("x", select(demand(taskCount = 4), counts) { it.zone == "y" }?.offering?.zone)
        assertNull(select(demand(taskCount = 4), counts) { true })
    }

    @Test
    fun `only the demand's own zone and machine types are selected`() {
        val selected = select(demand(taskCount = 16, zone = "y", allowedTypes = listOf("small")))

        assertEquals(OfferingCandidate(InstanceOffering("small", "y", false), 4, 4.0), selected)
        assertNull(select(demand(taskCount = 1, zone = "elsewhere")))
    }

    @Test
    fun `work that may use spot machines gets an expensive on-demand one only past its deadline`() {
        val bargain = machineType("bargain", cpus = 4.0, hourlyPrice = 2.0, spotPrice = 0.1)
        val withoutSpot: (InstanceOffering) -> Boolean = { it.spot }
        fun select(pastDeadline: Boolean) = OfferingSelector(listOf(bargain), withoutSpot)
            .select(demand(taskCount = 4, spot = true, pastDeadline = pastDeadline), emptyMap())

        assertNull(select(pastDeadline = false))
        assertEquals(InstanceOffering("bargain", "x", false), select(pastDeadline = true)?.offering)
    }

    private fun select(
        demand: Demand,
        machineCountByZone: Map<String, Int> = emptyMap(),
        isUnavailable: (InstanceOffering) -> Boolean = { false },
    ) = OfferingSelector(listOf(small, large), isUnavailable).select(demand, machineCountByZone)
}
