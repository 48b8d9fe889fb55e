package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.placement.PlacementFixtures.job
import io.reedmast.placement.PlacementFixtures.machine
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PreemptionProtectionTest {
    private val clock = SettableClock()
    private val protection = PreemptionProtection(shardState(clock))

    /** The first task of the job, placed and protected at [atMs]; the job has waited since 0. */
    private fun protectedPlacement(job: Job, atMs: Long): Placement {
        clock.nowMs = atMs
        val placement = Placement(job, 0, 1L, machine(), atMs)
        protection.protect(placement, atMs)
        job.add(placement)
        return placement
    }

    @Test
    fun `a task of an underserved job is protected from its own team for its run time plus a minute`() {
        val placement = protectedPlacement(job("wk-1", "run" to "10", "priority" to "best_effort"), atMs = 100_000L)
        clock.nowMs = 169_999L
        assertTrue(protection.isProtectedFrom(placement, job("wk-2")))
        assertTrue(protection.isPreemptable(placement))
        clock.nowMs = 170_000L
        assertFalse(protection.isProtectedFrom(placement, job("wk-2")))
    }

    @Test
    fun `tasks of severely underserved jobs are protected from all work, at most four of a team at a time`() {
        val placements = (1..5).map {
            protectedPlacement(job("wk-$it", "run" to "10", "priority" to "best_effort"), atMs = 130_000L)
        }
        assertEquals(listOf(false, false, false, false, true), placements.map { protection.isPreemptable(it) })
        clock.nowMs = 200_000L
        assertTrue(placements.all { protection.isPreemptable(it) })
    }

    @Test
    fun `a protected task that has left its machine no longer counts towards the limit of protected tasks`() {
        val first = (1..4).map { protectedPlacement(job("wk-$it", "priority" to "best_effort"), atMs = 130_000L) }
        first[0].job.remove(first[0], done = true)
        val next = protectedPlacement(job("wk-5", "priority" to "best_effort"), atMs = 130_000L)
        assertFalse(protection.isPreemptable(next))
    }

    @Test
    fun `funded work is preemptable only if it can resume`() {
        val resumable = Placement(job("wk-1", "checkpoint" to "5"), 0, 1L, machine(), 0L)
        val notResumable = Placement(job("wk-2"), 0, 1L, machine(), 0L)
        assertEquals(listOf(true, false), listOf(resumable, notResumable).map { protection.isPreemptable(it) })
    }
}
