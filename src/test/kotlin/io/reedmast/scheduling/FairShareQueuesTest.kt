package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.settings.TeamId
import io.reedmast.sim.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class FairShareQueuesTest {
    private val usageByTeam = mutableMapOf(TeamId(0) to 1.0, TeamId(1) to 2.0)
    private val byId = compareBy<Job> { it.spec.jobId }
    private val byUsage = compareBy<Job> { usageByTeam.getValue(it.team) }

    private fun job(id: String, team: Int) = Job(World.spec(id, emptyMap()), TeamId(team), 16, 0L, 1L)

    @Test
    fun `the first job of the team with the least usage is next, as usage changes`() {
        val jobs = listOf(job("wk-2", 0), job("wk-1", 0), job("wk-3", 1))
        val queues = FairShareQueues(jobs, byId, byUsage)
        assertEquals("wk-1", queues.peek().spec.jobId)
        usageByTeam[TeamId(0)] = 3.0
        assertEquals("wk-3", queues.peek().spec.jobId)
    }

    @Test
    fun `removing a job makes the next job of its team the first, until none is left`() {
        val jobs = listOf(job("wk-1", 0), job("wk-2", 0))
        val queues = FairShareQueues(jobs, byId, byUsage)
        queues.remove(jobs[0])
        assertEquals(jobs[1], queues.peek())
        queues.remove(jobs[1])
        assertFalse(queues.isNotEmpty())
    }

    @Test
    fun `only the first job of a queue can be removed`() {
        val jobs = listOf(job("wk-1", 0), job("wk-2", 0))
        val queues = FairShareQueues(jobs, byId, byUsage)
        assertThrows(IllegalStateException::class.java) { queues.remove(jobs[1]) }
    }
}
