package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.placement.PlacementFixtures
import io.reedmast.scheduling.SettableClock
import io.reedmast.scheduling.shardState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The demand of jobs that have failed on several machines in a row, in a shard without machines. */
class DemandCalculationTest {
    private val clock = SettableClock(100_000L)
    private val shardState = shardState(clock)

    private fun addFaultyJob(id: String, vararg args: Pair<String, String>): Job =
        PlacementFixtures.job(id, *args).also {
            shardState.jobs[id] = it
            it.consecutiveFailures = 4
            it.placementNotBefore = 110_000L
        }

    private fun taskCounts() = DemandCalculation(shardState, ArrivalRates(shardState), emptyList()).demand()
        .map { it.taskCount }

    /** An array waited for good after unhealthy machines had failed its tasks: no machine was rented for it. */
    @Test
    fun `an array that seems faulty gets a machine for one task when it is to be tried again`() {
        addFaultyJob("wk-1", "tasks" to "8")
        clock.nowMs = 112_000L
        assertEquals(listOf(1), taskCounts())
    }

    @Test
    fun `a gang that seems faulty gets machines for all its tasks`() {
        addFaultyJob("wk-1", "tasks" to "4", "kind" to "gang")
        clock.nowMs = 112_000L
        assertEquals(listOf(4), taskCounts())
    }

    @Test
    fun `a job that seems faulty gets no machine before it is to be tried again`() {
        addFaultyJob("wk-1", "tasks" to "8")
        clock.nowMs = 109_000L
        assertEquals(emptyList<Int>(), taskCounts())
    }

    @Test
    fun `other jobs come first`() {
        addFaultyJob("wk-1", "zone" to "x")
        PlacementFixtures.job("wk-2", "zone" to "y", "tasks" to "3", "kind" to "service").also {
            shardState.jobs["wk-2"] = it
        }
        clock.nowMs = 112_000L
        assertEquals(listOf(3, 1), taskCounts())
    }
}
