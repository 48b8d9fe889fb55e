package io.reedmast

import io.reedmast.cluster.MachineListPart
import io.reedmast.kvstore.WritePriority
import io.reedmast.kvstore.WriteRateLimiter
import io.reedmast.model.MachineRecord
import io.reedmast.settings.CloudLimits
import io.reedmast.settings.ControllerId
import io.reedmast.settings.Member
import io.reedmast.settings.Settings
import io.reedmast.settings.StoreLimits
import io.reedmast.settings.TeamShare
import io.reedmast.settings.WorkerRules
import io.reedmast.sim.World
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a fleet of hundreds costs, in counted work and not in time: changes stored, messages, scheduling passes. */
class CountedWorkTest {
    private val machineTypes = listOf(MachineType("m", 16.0, 0.0, 64.0, 50.0, 0.5, 1.0, 0.3, 30.0, listOf("x")))

    private fun settings(controller: Int, cpusPerTeam: Double, valueBytes: Int) = Settings(
        label = "n$controller",
        apiAddress = World.address(controller, 8080),
        clusterAddress = World.address(controller, 8081),
        members = (0 until CONTROLLERS).map { Member("n$it", World.address(it, 8081)) },
        self = ControllerId(controller),
        cloudAddress = "10.2.0.2:1",
        storeAddress = "10.2.0.1:1",
        zones = listOf("x"),
        teams = (0 until TEAMS).map { TeamShare("t$it", cpusPerTeam, cpusPerTeam * 1.5, 0.0, 0.0) },
        objectives = emptyList(),
        workers = WorkerRules(3.0, 16.0, 41.0),
        storeLimits = StoreLimits(150.0, 50.0, valueBytes, 16),
        nextStoreLimits = null,
        cloudLimits = CloudLimits(2.0, 5.0),
        maxConnections = 1000,
    )

    /** A cluster whose controllers have just started, with machines that are up. */
    private fun startedWorld(
        machines: Int,
        cpusPerTeam: Double = 800.0,
        valueBytes: Int = 8192,
        isSpot: (Int) -> Boolean = { it % 2 == 0 },
    ): World {
        val world = World({ settings(it, cpusPerTeam, valueBytes) }, CONTROLLERS, machineTypes)
        world.capacity = machines
        repeat(machines) { world.addWorker("m", "x", isSpot(it), 0) }
        world.controllers.forEach { it.start() }
        return world
    }

    /** Submits job [number] to one of the controllers in turn. */
    private fun World.submit(number: Int, description: Map<String, String>, taskMs: Long) {
        val jobId = "wk-%06d".format(number)
        val spec = World.spec(jobId, description)
        jobs[jobId] = World.SimJob(spec, taskMs, false)
        controllers[number % CONTROLLERS].sendRequest(jobId, { controller, answer -> controller.submit(spec, answer) })
    }

    private fun assertNoRuleBroken(world: World) = assertEquals(emptyList<String>(), world.rules.violations)

    private fun assertPassesAtMost(world: World, limit: Int, period: String) {
        for (node in world.controllers) {
            val passes = checkNotNull(node.process).cluster.activeOwners().sumOf { it.scheduler.passCount }
            assertTrue(passes <= limit, "$passes passes in $period")
        }
    }

    @Test
    fun `a fleet of hundreds stays within the limits, and what is stored follows the work`() {
        val machines = 300
        val world = startedWorld(machines)
        world.runUntil(20_000)
        val jobs = 240
        val storedBefore = world.store.writeCount

        for (number in 0 until jobs) {
            world.runUntil(20_000 + number * 100L)
            val isService = number % 4 != 0
            val description = mapOf(
                "team" to "t${number % TEAMS}",
                "tasks" to if (isService) "2" else "60",
                "kind" to if (isService) "service" else "array",
                "run" to "8",
                "spot" to "true",
            )
            world.submit(number, description, taskMs = 8_000)
        }
        world.runUntil(70_000)

        assertNoRuleBroken(world)
        val arraysDone = world.jobs.values.count { it.completedTasks.size == it.spec.taskCount }
        assertEquals(60, arraysDone, "arrays that are over")
        val replicas = world.workers.values.sumOf { worker ->
            worker.startedTasks().count { world.jobs.getValue(it.jobId).spec.isService }
        }
        assertEquals(360, replicas)
        // An acceptance for each job, two more for the end of each array; pages and totals at their own rate.
        val stored = world.store.writeCount - storedBefore
        val perSecond = (stored - jobs - 2 * 60) / 50.0
        assertTrue(perSecond < 36, "$perSecond changes a second besides acceptances and ends")
        assertPassesAtMost(world, 10 * 70, "70 s")
        // Heartbeats every three seconds and at changes, and a few direct commands for each task.
        assertTrue(world.messageCount < machines * 70 / 3 * 1.2 + 4_000 * 4, "${world.messageCount} messages")
    }

    /**
     * Half as many machines again as the largest fleet that was planned for: what is stored follows jobs and pages, not
     * tasks, and what is sent follows tasks, not machines times tasks.
     */
    @Test
    fun `sixteen hundred machines take ten thousand tasks`() {
        val machines = 1_600
        val world = startedWorld(machines, cpusPerTeam = 6_000.0)
        world.runUntil(30_000)
        val storedBefore = world.store.writeCount
        val messagesBefore = world.messageCount

        for (number in 0 until 100) {
            val description = mapOf(
                "team" to "t${number % TEAMS}",
                "tasks" to "100",
                "cpus" to "2",
                "run" to "5",
                "spot" to "true",
            )
            world.submit(number, description, taskMs = 5_000)
        }
        world.runUntil(60_000)

        assertNoRuleBroken(world)
        assertEquals(10_000, world.jobs.values.sumOf { it.completedTasks.size })
        assertEquals(10_000, world.rules.startCounts.values.sum(), "each task once")
        // An acceptance and two for the end of each job; a page holds a few dozen tasks, and is stored a few times.
        val stored = world.store.writeCount - storedBefore
        assertTrue(stored < 3 * 100 + 10_000 / 8, "$stored changes")
        // Idle machines report every three seconds; a busy one at three changes of each of its six tasks, and once to
        // forget.
        val sent = world.messageCount - messagesBefore
        assertTrue(sent < machines * 30 / 3 * 1.2 + 10_000 * 4, "$sent messages")
        assertPassesAtMost(world, 10 * 60, "60 s")
    }

    @Test
    fun `many jobs placed at one moment are stored in transactions that the store takes`() {
        val world = startedWorld(machines = 20, valueBytes = 32 * 1024, isSpot = { false })
        world.runUntil(8_000)

        // To all controllers: one alone takes 64 submissions at a time, and tells other users to come back.
        repeat(100) { world.submit(it, mapOf("team" to "t0", "tasks" to "1", "kind" to "service"), taskMs = 0) }
        world.runUntil(60_000)

        assertNoRuleBroken(world)
        assertEquals(100, world.workers.values.sumOf { it.startedTasks().size })
    }

    @Test
    fun `a shard's machines are spread over records below the limit`() {
        val records = (0 until 200).map { MachineRecord("host-%06d".format(it), "m", "x", it % 2 == 0) }

        val first = MachineListPart.EMPTY.withMachinesThatFit(records, 1024)

        val isBelowLimit = BodyCodec.jsonSize(first.toFields()) <= 1024
        assertTrue(isBelowLimit && first.records.size in 20..199, "${first.records.size} machines")
        assertEquals(first, first.withMachinesThatFit(records.take(10), 1024))
        val read = MachineListPart.parse(BodyCodec.readCbor(BodyCodec.writeCbor(first.toFields())))
        assertEquals(first, read.copy(records = first.records))
    }

    @Test
    fun `deferred writes leave part of the rate to urgent ones, and these to users`() {
        var now = 0L
        val limiter = WriteRateLimiter(10.0) { now }
        assertEquals(0L, limiter.tryAcquire(5, WritePriority.DEFERRED))
        assertTrue(limiter.tryAcquire(1, WritePriority.DEFERRED) > 0)
        assertEquals(0L, limiter.tryAcquire(2, WritePriority.URGENT))
        assertEquals(100L, limiter.tryAcquire(1, WritePriority.URGENT))
        assertEquals(0L, limiter.tryAcquire(3, WritePriority.USER))
        assertEquals(100L, limiter.tryAcquire(1, WritePriority.USER))

        now += 100
        assertEquals(300L, limiter.tryAcquire(1, WritePriority.URGENT))
        assertEquals(0L, limiter.tryAcquire(1, WritePriority.USER))

        // A transaction larger than a second's worth goes out once the bucket is full, and is paid for afterwards.
        now += 1_000
        assertEquals(0L, limiter.tryAcquire(16, WritePriority.URGENT))
        assertTrue(limiter.tryAcquire(1, WritePriority.USER) >= 700)
    }

    private companion object {
        const val CONTROLLERS = 3
        const val TEAMS = 6
    }
}
