package io.reedmast.scheduling

import io.reedmast.placement.PlacementFixtures.job
import io.reedmast.placement.PlacementFixtures.machine
import io.reedmast.placement.PlacementFixtures.place
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class PreemptionSelectionTest {
    private val machine = machine()

    @Test
    fun `the newest tasks are stopped, and no more than needed`() {
        val running = place(job("wk-9"), machine, taskCount = 4)
        val selected = selectForPreemption(job("wk-1", "cpus" to "2").spec, 1, machine, running)
        assertEquals(listOf(running[3], running[2]), selected)
    }

    @Test
    fun `gangs are stopped last`() {
        val array = place(job("wk-8"), machine, taskCount = 2, firstMadeAt = 0L)
        val gang = place(job("wk-9", "kind" to "gang"), machine, taskCount = 2, firstMadeAt = 5_000L)
        val selected = selectForPreemption(job().spec, 3, machine, gang + array)
        assertEquals(listOf(array[1], array[0], gang[1]), selected)
    }

    @Test
    fun `nothing is selected if stopping all candidates is not enough or not needed`() {
        val running = place(job("wk-9"), machine, taskCount = 3)
        assertNull(selectForPreemption(job().spec, 5, machine, running))
        assertNull(selectForPreemption(job().spec, 1, machine, running))
    }
}
