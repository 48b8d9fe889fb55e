package io.reedmast.sim

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.kvstore.Write
import io.reedmast.placement.PlacementFixtures
import io.reedmast.scheduling.shardState
import io.reedmast.wire.JobState
import io.reedmast.wire.JobStatus
import io.reedmast.wire.TaskId
import io.reedmast.wire.UserAnswer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Breaks each rule on purpose, to show that [RuleChecker] detects it. */
class RuleCheckerTest {
    private val world = Scenario(listOf("team a 8 2", "machine-type m 4 5")).world
    private val rules = world.rules
    private val onDemand = world.addWorker("m", "x", spot = false, bootMs = 1_000_000)
    private val other = world.addWorker("m", "y", spot = false, bootMs = 1_000_000)
    private val spot = world.addWorker("m", "x", spot = true, bootMs = 1_000_000)
    private val task = TaskId("wk-1", 0)

    private fun addJob(vararg args: Pair<String, String>) {
        val spec = World.spec("wk-1", mapOf("team" to "a", "tasks" to "4") + args)
        world.jobs["wk-1"] = World.SimJob(spec, 1_000, false)
    }

    private fun storeJob() {
        world.store.commit(
            StoreTransaction(
                "t",
                listOf(Precondition(Keys.liveJob(0, "wk-1"), 0)),
                listOf(Write.Put(Keys.liveJob(0, "wk-1"), emptyMap())),
            ),
        )
    }

    private fun answer(state: JobState) = UserAnswer(200, JobStatus("wk-1", state))

    private fun assertViolation(rule: String) {
        assertEquals(1, rules.violations.size, "${rules.violations}")
        assertTrue(rule in rules.violations.single(), rules.violations.single())
    }

    @Test
    fun forgotten() {
        addJob()
        rules.answered("wk-1", UserAnswer(404), wasAccepted = true)
        assertViolation("forgotten wk-1")
    }

    @Test
    fun miscounted() {
        val shardState = shardState(world)
        PlacementFixtures.job().also { shardState.jobs["wk-1"] = it }.placedCount++
        repeat(2) { rules.checkRecount("n0", shardState) }
        assertViolation("miscounted by n0 in shard 0: [wk-1, placed: kept 1, recounted 0")
    }

    @Test
    fun `an answer about a job that is not stored`() {
        addJob()
        rules.answered("wk-1", answer(JobState.QUEUED), wasAccepted = false)
        assertViolation("told_unstored wk-1")
    }

    @Test
    fun `a final state that changes`() {
        addJob()
        storeJob()
        rules.answered("wk-1", answer(JobState.CANCELLED), wasAccepted = true)
        rules.answered("wk-1", answer(JobState.QUEUED), wasAccepted = true)
        assertViolation("went_back wk-1")
    }

    @Test
    fun `done before all tasks have completed`() {
        addJob()
        storeJob()
        rules.answered("wk-1", answer(JobState.DONE), wasAccepted = true)
        assertViolation("not_done wk-1")
    }

    @Test
    fun `a task that runs on two machines`() {
        addJob()
        rules.taskStarted(onDemand, task, attempt = 1)
        rules.taskStarted(other, task, attempt = 1)
        assertViolation("ran_twice wk-1/0")
    }

    @Test
    fun `a task that has ended may start elsewhere`() {
        addJob()
        rules.taskStarted(onDemand, task, attempt = 1)
        rules.taskEnded(onDemand, task, wasStarted = true)
        rules.taskStarted(other, task, attempt = 1)
        assertEquals(emptyList<String>(), rules.violations)
    }

    @Test
    fun quota() {
        addJob()
        (0..2).forEach { rules.taskStarted(onDemand, TaskId("wk-1", it), attempt = 1) }
        assertViolation("quota of a")
    }

    @Test
    fun `two attempts of a gang at once`() {
        addJob("kind" to "gang")
        rules.taskStarted(onDemand, task, attempt = 1)
        rules.taskStarted(onDemand, TaskId("wk-1", 1), attempt = 2)
        assertViolation("two_attempts wk-1/1")
    }

    @Test
    fun `a gang's next attempt may start once the previous one has ended`() {
        addJob("kind" to "gang")
        rules.taskStarted(onDemand, task, attempt = 1)
        rules.taskEnded(onDemand, task, wasStarted = true)
        rules.taskStarted(onDemand, task, attempt = 2)
        assertEquals(emptyList<String>(), rules.violations)
    }

    @Test
    fun `on a spot machine that the job does not allow`() {
        addJob()
        rules.taskStarted(spot, task, attempt = 1)
        assertViolation("wrong_place wk-1/0")
    }

    @Test
    fun `in two zones of a job that needs one`() {
        addJob("oneZone" to "true")
        rules.taskStarted(onDemand, task, attempt = 1)
        rules.taskStarted(other, TaskId("wk-1", 1), attempt = 1)
        assertViolation("wrong_place wk-1/1")
    }

    @Test
    fun `a job that still runs after its cancellation`() {
        addJob()
        storeJob()
        rules.taskStarted(onDemand, task, attempt = 1)
        rules.answered("wk-1", answer(JobState.CANCELLED), wasAccepted = true)
        world.runUntil(world.now() + 40_000)
        rules.checkCancelled()
        assertEquals(emptyList<String>(), rules.violations)
        world.runUntil(world.now() + 2_000)
        rules.checkCancelled()
        assertViolation("ran_cancelled wk-1/0")
    }

    @Test
    fun `launched on a machine where no stored page places it`() {
        addJob()
        rules.taskLaunched(onDemand, task, attempt = 7)
        assertViolation("launched_unstored wk-1/0")
    }

    @Test
    fun `neglected although a machine has room`() {
        addJob()
        storeJob()
        val idle = world.addWorker("m", "x", spot = false, bootMs = 0)
        rules.answered("wk-1", answer(JobState.QUEUED), wasAccepted = true)
        world.faultFreeSince = world.now()
        world.runUntil(world.now() + 1_000)
        assertTrue(idle.alive)
        rules.checkNeglected()
        world.runUntil(world.now() + 100_000)
        rules.checkNeglected()
        assertViolation("neglected wk-1")
    }
}
