package io.reedmast.loopback

import io.reedmast.sim.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Three controllers as real processes, with the heap of small deployments, and arrays as large as the protocol allows. */
class LoopbackLargeArraysTest {
    private fun LoopbackCluster.submitArray(number: Int) {
        val spec = World.spec("wk-$number", mapOf("team" to "a", "tasks" to "100000", "cpus" to "0.0001"))
        assertTrue(submit(spec.copy(memoryGb = SMALL_TASK_MEMORY_GB)), spec.jobId)
    }

    private fun LoopbackCluster.submitService(number: Int, team: String) {
        val spec = World.spec("wk-$number", mapOf("team" to team, "kind" to "service", "priority" to "urgent"))
        assertTrue(submit(spec), spec.jobId)
    }

    private fun LoopbackCluster.awaitRunning(number: Int) = await("wk-$number runs", 30) {
        assertNoneHasEnded()
        history.runningCount("wk-$number") == 1
    }

    private fun LoopbackCluster.assertNoneHasEnded() =
        assertEquals(labels.map { null }, labels.indices.map { exitCode(it) }, "exit codes")

    private fun LoopbackCluster.startAll() = labels.indices.forEach { start(it) }

    /** Guards against arrays of 100,000 small tasks that end one controller after the other for lack of memory. */
    @Test
    fun `large arrays of small tasks end no controller, and other jobs start, also after a restart`() =
        LoopbackCluster(controllers = 3, machines = 12) { System.getProperty("java.class.path") }.use { cluster ->
            cluster.startAll()
            cluster.submitService(1, team = "b")
            cluster.awaitRunning(1)
            (100 until 100 + ARRAYS).forEach { cluster.submitArray(it) }
            cluster.await("the first array has begun", 40) {
                cluster.assertNoneHasEnded()
                cluster.history.startCount("wk-100") > MIN_STARTS
            }
            cluster.submitService(2, team = "a")
            cluster.awaitRunning(2)
            cluster.labels.indices.forEach { cluster.kill(it) }
            cluster.startAll()
            cluster.submitService(3, team = "a")
            cluster.submitService(4, team = "c")
            cluster.awaitRunning(3)
            cluster.awaitRunning(4)
            val startsSoFar = cluster.history.startCount("wk-100")
            cluster.await("the first array goes on", 40) {
                cluster.assertNoneHasEnded()
                cluster.history.startCount("wk-100") > startsSoFar
            }
            assertEquals(emptyList<String>(), cluster.violations())
        }

    private companion object {
        const val ARRAYS = 8
        const val MIN_STARTS = 300
        const val SMALL_TASK_MEMORY_GB = 0.0001
    }
}
