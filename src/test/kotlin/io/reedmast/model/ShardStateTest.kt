package io.reedmast.model

import io.reedmast.placement.PlacementFixtures
import io.reedmast.scheduling.SettableClock
import io.reedmast.scheduling.shardState
import io.reedmast.settings.TeamId
import io.reedmast.sim.ShardRecount
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** The end of placements, for which there may be several kinds of evidence, in any order. */
class ShardStateTest {
    private val shardState = shardState(SettableClock(10_000L))
    private val machine = PlacementFixtures.machine().also { shardState.machines[it.name] = it }

    private fun addJob(vararg args: Pair<String, String>) =
        PlacementFixtures.job("wk-1", *args).also { shardState.jobs["wk-1"] = it }

    private fun place(job: Job, attempt: Long): List<Placement> = (0 until job.spec.taskCount).map { task ->
        Placement(job, task, attempt, machine, 0L).also { shardState.place(it) }
    }

    /** A team exceeded its limit when the return of a machine and a conflict both ended the same placements. */
    @Test
    fun `a placement that is ended twice lowers the use of its team once`() {
        val placements = place(addJob("tasks" to "3"), attempt = 1)
        shardState.finish(placements[0], done = false)
        shardState.finish(placements[0], done = false)
        assertEquals(2.0, shardState.quota.usedCpus(TeamId(0)))
        assertEquals(emptyList<String>(), ShardRecount(shardState).mismatches())
    }

    /** A gang lost its new attempt when a placement of the previous one was ended a second time. */
    @Test
    fun `a placement that is ended again does not stop the next attempt of its gang`() {
        val job = addJob("kind" to "gang", "tasks" to "2")
        val first = place(job, attempt = 1)
        first.forEach { shardState.finish(it, done = false) }
        place(job, attempt = 2)
        shardState.incompleteGangs.clear()
        shardState.finish(first[0], done = false)
        assertEquals(emptySet<Job>(), shardState.incompleteGangs)
        assertEquals(2, job.placedCount)
    }
}
