package io.reedmast.model

import io.reedmast.placement.PlacementFixtures
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobTest {
    private val machine = PlacementFixtures.machine()
    private val job = PlacementFixtures.job("wk-1", "tasks" to "100000", "cpus" to "0.0001")

    private fun place(task: Int) = Placement(job, task, 1L, machine, 0L).also { job.add(it) }

    /** Guards against memory for each task of a large array of which little has begun. */
    @Test
    fun `a job has chunks up to the last task to which anything has happened`() {
        assertEquals(0, job.chunks.size)
        place(40)
        assertEquals(listOf(null, null, 2), job.chunks.map { it?.index })
    }

    @Test
    fun `the next pending task is the lowest one`() {
        val first = place(0)
        place(2)
        assertEquals(1, job.nextPending())
        place(1)
        assertEquals(3, job.nextPending())
        job.remove(first, done = false)
        assertEquals(0, job.nextPending())
        job.markDone(0)
        assertEquals(3, job.nextPending())
    }

    @Test
    fun `a job with results for all tasks has no pending task`() {
        val small = PlacementFixtures.job("wk-2", "tasks" to "3")
        (2 downTo 0).forEach { small.markDone(it) }
        assertEquals(-1, small.nextPending())
    }
}
