package io.reedmast.loopback

import io.reedmast.sim.World
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Three controllers as real processes beside workers at which each direct call arrives again, up to three times and up
 * to 20 s late.
 *
 * The environment variable OLD_CLASS_PATH is the class path of an earlier version that supports the rollout, which n0 and
 * n2 then run. If it is not set, as in CI, all run the current version.
 */
class LoopbackLaunchCopiesTest {
    private val currentClassPath = System.getProperty("java.class.path")
    private val earlierClassPath = System.getenv("OLD_CLASS_PATH") ?: currentClassPath

    private fun cluster() = LoopbackCluster(controllers = 3, machines = 6, maxDirectCallCopies = 3) {
        if (it % 2 == 0) earlierClassPath else currentClassPath
    }

    private fun LoopbackCluster.submitJob(number: Int, kind: String) {
        val team = listOf("a", "b", "c")[number % 3]
        val spec = World.spec("wk-$number", mapOf("team" to team, "kind" to kind, "tasks" to "4", "run" to "3"))
        assertTrue(submit(spec), spec.jobId)
    }

    private fun LoopbackCluster.restart(controller: Int) {
        kill(controller)
        Thread.sleep(PAUSE_MS)
        start(controller)
    }

    /** Guards against a copy of a launch that starts a finished, moved or cancelled attempt again. */
    @Test
    fun `no copy of a launch starts an attempt again, while controllers are back within a second`() =
        cluster().use { cluster ->
            cluster.labels.indices.forEach { cluster.start(it) }
            val cancelled = ArrayList<String>()
            for (round in 0 until ROUNDS) {
                val first = round * JOBS_PER_ROUND
                (first until first + ARRAYS_PER_ROUND).forEach { cluster.submitJob(it, kind = "array") }
                cluster.submitJob(first + ARRAYS_PER_ROUND, kind = "service")
                Thread.sleep(ROUND_MS)
                cancelled.add("wk-${first + ARRAYS_PER_ROUND}")
                assertTrue(cluster.cancel(cancelled.last()))
                cluster.restart(round % cluster.labels.size)
            }
            for (round in 0 until ROUNDS) {
                for (number in round * JOBS_PER_ROUND until round * JOBS_PER_ROUND + ARRAYS_PER_ROUND) {
                    cluster.await("wk-$number is done", 60) { cluster.jobState("wk-$number") == "done" }
                }
            }
            cluster.await("cancelled jobs are gone", 41) { cancelled.all { cluster.history.runningCount(it) == 0 } }
            Thread.sleep(LAST_COPIES_MS)
            assertEquals(emptyList<String>(), cluster.violations())
            assertEquals(emptyList<String>(), cancelled.filter { cluster.history.runningCount(it) > 0 })
        }

    private companion object {
        const val ROUNDS = 4
        const val ARRAYS_PER_ROUND = 4
        const val JOBS_PER_ROUND = ARRAYS_PER_ROUND + 1
        const val ROUND_MS = 5_000L
        const val PAUSE_MS = 300L
        const val LAST_COPIES_MS = 20_000L
    }
}
