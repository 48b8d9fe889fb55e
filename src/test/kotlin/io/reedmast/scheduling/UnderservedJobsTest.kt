package io.reedmast.scheduling

import io.reedmast.placement.PlacementFixtures.job
import io.reedmast.settings.TeamId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class UnderservedJobsTest {
    private val clock = SettableClock(nowMs = 100_000L)
    private val underservedJobs = UnderservedJobs(shardState(clock))

    private fun waitingSince(id: String, sinceMs: Long) = job(id).apply { underservedSince = sinceMs }

    @Test
    fun `the three jobs of a team that have been underserved for longest are selected`() {
        val jobs = listOf(30_000L, 10_000L, 39_000L, 20_000L).mapIndexed { i, since -> waitingSince("wk-$i", since) }
        val selected = underservedJobs.select(jobs, clock.nowMs)
        assertEquals(listOf("wk-1", "wk-3", "wk-0"), selected.map { it.spec.jobId })
    }

    @Test
    fun `jobs that have waited for a minute or less are not selected`() {
        assertEquals(emptyList<Any>(), underservedJobs.select(listOf(waitingSince("wk-1", 40_000L)), clock.nowMs))
    }

    @Test
    fun `a team has its next turn after an interval`() {
        val jobs = listOf(waitingSince("wk-1", 0L))
        underservedJobs.recordTurn(TeamId(0), clock.nowMs)
        assertEquals(emptyList<Any>(), underservedJobs.select(jobs, clock.nowMs + 249L))
        assertEquals(jobs, underservedJobs.select(jobs, clock.nowMs + 250L))
    }
}
