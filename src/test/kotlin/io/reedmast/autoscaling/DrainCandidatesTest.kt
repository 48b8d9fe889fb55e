package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.placement.PlacementFixtures
import io.reedmast.scheduling.SettableClock
import io.reedmast.scheduling.shardState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * A machine may be drained for a starving job of another shard if its own work fits on the shard's other machines. The
 * room was counted in all zones, so that a replica that must be in zone y was drained while the room was in zone x. It
 * starved next and the machine was drained back for it, again and again: on rental day 197 of RandomizedFaultTest
 * host-000030 went from shard 0 to 1, 2, 1 and 2, with "task wk-3/2: to be stopped on host-000030: DRAINED" each time,
 * and 220 s after the troubles "wk-3: 2 of 3 run".
 */
class DrainCandidatesTest {
    private val clock = SettableClock(100_000L)
    private val state = shardState(clock)

    private fun machine(name: String, zone: String, spot: Boolean = false): Machine =
        PlacementFixtures.machine(name, zone, spot).also {
            it.isStateKnown = true
            state.machines[name] = it
        }

    private fun candidatesWith(job: Job, isOtherSpot: Boolean = false): List<String> {
        val machine = machine("host-1", "y")
        machine("host-2", "x", isOtherSpot)
        PlacementFixtures.place(job, machine, taskCount = 2)
        return DrainCandidates(state).select(clock.now()).sorted()
    }

    @Test
    fun `work that may be anywhere is drained to another zone`() {
        assertEquals(listOf("host-1", "host-2"), candidatesWith(PlacementFixtures.job()))
    }

    @Test
    fun `a replica that is spread over zones is not drained for want of room in its zone`() {
        val service = PlacementFixtures.job("wk-1", "kind" to "service", "spread" to "true")

        assertEquals(listOf("host-2"), candidatesWith(service))
    }

    @Test
    fun `work of one zone is not drained for want of room in its zone`() {
        assertEquals(listOf("host-2"), candidatesWith(PlacementFixtures.job("wk-1", "zone" to "y")))
    }

    @Test
    fun `work that must not be on spot machines is not drained for want of others`() {
        assertEquals(listOf("host-2"), candidatesWith(PlacementFixtures.job(), isOtherSpot = true))
    }
}
