package io.reedmast.sim

import io.reedmast.model.Placement
import io.reedmast.persistence.ProgressPage
import io.reedmast.placement.PlacementFixtures
import io.reedmast.scheduling.SettableClock
import io.reedmast.scheduling.shardState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Makes each sum wrong on purpose, to show that [ShardRecount] detects it. */
class ShardRecountTest {
    private val shardState = shardState(SettableClock(10_000L))
    private val machine = PlacementFixtures.machine().also { shardState.machines[it.name] = it }
    private val job = PlacementFixtures.job("wk-1", "kind" to "service").also { shardState.jobs["wk-1"] = it }
    private val placement = Placement(job, 0, 1L, machine, 0L).also { shardState.place(it) }

    private fun mismatches() = ShardRecount(shardState).mismatches()

    private fun assertMismatch(what: String) {
        val mismatches = mismatches()
        assertTrue(mismatches.any { what in it }, "$mismatches")
    }

    @Test
    fun `all sums agree`() {
        job.markDone(3)
        job.recordRunning(placement, 10_000L)
        assertEquals(emptyList<String>(), mismatches())
    }

    @Test
    fun `use of a team`() {
        shardState.quota.remove(job)
        assertMismatch("CPUs of team a: kept 0.0, recounted 1.0")
    }

    @Test
    fun `placed and pending tasks`() {
        job.placedCount++
        assertMismatch("wk-1, placed: kept 2, recounted 1")
        assertMismatch("wk-1, pending: kept 2, recounted 3")
    }

    @Test
    fun `running tasks`() {
        placement.runningSince = 10_000L
        assertMismatch("wk-1, running: kept 0, recounted 1")
    }

    @Test
    fun `done tasks`() {
        job.doneCount++
        assertMismatch("wk-1, done: kept 1, recounted 0")
    }

    @Test
    fun `the next pending task`() {
        job.chunkOf(1).done.set(1)
        assertMismatch("wk-1, first pending task: kept 1, recounted 2")
    }

    @Test
    fun `work that is preempted for a job`() {
        job.pendingPreemptions++
        assertMismatch("wk-1, preemptions: kept 1, recounted 0")
    }

    @Test
    fun `resources and services of a machine`() {
        machine.placements.remove(placement.id)
        assertMismatch("machine host-0, CPUs: kept 1.0, recounted 0.0")
        assertMismatch("machine host-0, GB of memory: kept 1.0, recounted 0.0")
        assertMismatch("machine host-0: 0 services")
        assertMismatch("placements of all jobs, and on all machines: kept 1, recounted 0")
    }

    @Test
    fun `a placement on a machine that the shard no longer has`() {
        shardState.machines[machine.name] = PlacementFixtures.machine().also { it.placements[placement.id] = placement }
        assertMismatch("machine host-0: wk-1/0 has ended")
    }

    @Test
    fun `space in a page`() {
        val page = ProgressPage(0).apply { add(job.chunkOf(0)) }
        page.chunks.clear()
        assertMismatch("page of wk-1, chunk 0: does not list it")
        assertMismatch("page 0, bytes as PLAIN_UNSIZED")
    }
}
