package io.reedmast.sim

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.kvstore.Write
import io.reedmast.wire.JobState
import io.reedmast.wire.JobStatus
import io.reedmast.wire.TaskId
import io.reedmast.wire.UserAnswer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Each rule is broken on purpose: a checker that finds nothing must be one that could. */
class RuleCheckerTest {
    private val world = Scenario(listOf("team a 8 2", "machine-type m 4 5")).world
    private val rules = world.rules
    private val ordinary = world.addWorker("m", "x", spot = false, bootMs = 1_000_000)
    private val other = world.addWorker("m", "y", spot = false, bootMs = 1_000_000)
    private val spot = world.addWorker("m", "x", spot = true, bootMs = 1_000_000)
    private val task = TaskId("wk-1", 0)

    private fun submitted(vararg args: Pair<String, String>) {
        val spec = World.spec("wk-1", mapOf("team" to "a", "tasks" to "4") + args)
        world.jobs["wk-1"] = World.SimJob(spec, 1_000, false)
    }

    private fun stored() {
        world.store.commit(
            StoreTransaction(
                "t",
                listOf(Precondition(Keys.liveJob(0, "wk-1"), 0)),
                listOf(Write.Put(Keys.liveJob(0, "wk-1"), emptyMap())),
            ),
        )
    }

    private fun answer(state: JobState) = UserAnswer(200, JobStatus("wk-1", state))

    private fun assertFound(rule: String) {
        assertEquals(1, rules.violations.size, "${rules.violations}")
        assertTrue(rule in rules.violations.single(), rules.violations.single())
    }

    @Test
    fun forgotten() {
        submitted()
        rules.answered("wk-1", UserAnswer(404), known = true)
        assertFound("forgotten wk-1")
    }

    @Test
    fun `an answer that nobody has stored`() {
        submitted()
        rules.answered("wk-1", answer(JobState.QUEUED), known = false)
        assertFound("told_unstored wk-1")
    }

    @Test
    fun `gone back`() {
        submitted()
        stored()
        rules.answered("wk-1", answer(JobState.CANCELLED), known = true)
        rules.answered("wk-1", answer(JobState.QUEUED), known = true)
        assertFound("went_back wk-1")
    }

    @Test
    fun `not done`() {
        submitted()
        stored()
        rules.answered("wk-1", answer(JobState.DONE), known = true)
        assertFound("not_done wk-1")
    }

    @Test
    fun `ran twice`() {
        submitted()
        rules.taskStarted(ordinary, task, attempt = 1)
        rules.taskStarted(other, task, attempt = 1)
        assertFound("ran_twice wk-1/0")
    }

    @Test
    fun `a task that has left may start elsewhere`() {
        submitted()
        rules.taskStarted(ordinary, task, attempt = 1)
        rules.taskEnded(ordinary, task, wasStarted = true)
        rules.taskStarted(other, task, attempt = 1)
        assertEquals(emptyList<String>(), rules.violations)
    }

    @Test
    fun quota() {
        submitted()
        (0..2).forEach { rules.taskStarted(ordinary, TaskId("wk-1", it), attempt = 1) }
        assertFound("quota of a")
    }

    @Test
    fun `two attempts of a gang at once`() {
        submitted("kind" to "gang")
        rules.taskStarted(ordinary, task, attempt = 1)
        rules.taskStarted(ordinary, TaskId("wk-1", 1), attempt = 2)
        assertFound("two_attempts wk-1/1")
    }

    @Test
    fun `a gang's next attempt may start once the last one has left`() {
        submitted("kind" to "gang")
        rules.taskStarted(ordinary, task, attempt = 1)
        rules.taskEnded(ordinary, task, wasStarted = true)
        rules.taskStarted(ordinary, task, attempt = 2)
        assertEquals(emptyList<String>(), rules.violations)
    }

    @Test
    fun `wrong kind of machine`() {
        submitted()
        rules.taskStarted(spot, task, attempt = 1)
        assertFound("wrong_place wk-1/0")
    }

    @Test
    fun `in two zones`() {
        submitted("oneZone" to "true")
        rules.taskStarted(ordinary, task, attempt = 1)
        rules.taskStarted(other, TaskId("wk-1", 1), attempt = 1)
        assertFound("wrong_place wk-1/1")
    }

    @Test
    fun `ran on after its cancellation`() {
        submitted()
        stored()
        rules.taskStarted(ordinary, task, attempt = 1)
        rules.answered("wk-1", answer(JobState.CANCELLED), known = true)
        world.runUntil(world.now() + 40_000)
        rules.checkCancelled()
        assertEquals(emptyList<String>(), rules.violations)
        world.runUntil(world.now() + 2_000)
        rules.checkCancelled()
        assertFound("ran_cancelled wk-1/0")
    }

    @Test
    fun `launched where no page places it`() {
        submitted()
        rules.taskLaunched(ordinary, task, attempt = 7)
        assertFound("launched_unstored wk-1/0")
    }

    @Test
    fun `neglected beside room`() {
        submitted()
        stored()
        val idle = world.addWorker("m", "x", spot = false, bootMs = 0)
        rules.answered("wk-1", answer(JobState.QUEUED), known = true)
        world.faultFreeSince = world.now()
        world.runUntil(world.now() + 1_000)
        assertTrue(idle.alive)
        rules.checkNeglected()
        world.runUntil(world.now() + 100_000)
        rules.checkNeglected()
        assertFound("neglected wk-1")
    }
}
