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

/**
 * Checks what a cluster of hundreds of machines costs by counting work instead of measuring time: writes to the store,
 * messages and scheduling passes.
 */
class CountedWorkTest {
    private val machineTypes = listOf(MachineType("m", 16.0, 0.0, 64.0, 50.0, 0.5, 1.0, 0.3, 30.0, listOf("x")))

    private fun settings(controller: Int, cpusPerTeam: Double, valueBytes: Int) = Settings(
        label = "n$controller",
        apiAddress = World.address(controller, 8080),
        clusterAddress = World.address(controller, 8081),
        members = (0 until CONTROLLERS).map { Member("n$it", World.address(it, 8081)) },
        controllerId = ControllerId(controller),
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

    /** A cluster with booted machines whose controllers have just started. */
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

    /** Submits job number [index]; successive jobs go to the controllers in turn. */
    private fun World.submit(index: Int, description: Map<String, String>, taskMs: Long) {
        val jobId = "wk-%06d".format(index)
        val spec = World.spec(jobId, description)
        jobs[jobId] = World.SimJob(spec, taskMs, false)
        controllers[index % CONTROLLERS].sendRequest(jobId, { controller, answer -> controller.submit(spec, answer) })
    }

    private fun assertNoViolations(world: World) = assertEquals(emptyList<String>(), world.rules.violations)

    private fun assertPassesAtMost(world: World, limit: Int, period: String) {
        for (controller in world.controllers) {
            val passes = checkNotNull(controller.process).cluster.activeOwners().sumOf { it.scheduler.passCount }
            assertTrue(passes <= limit, "$passes passes in $period")
        }
    }

    @Test
    fun `hundreds of machines stay within the limits, and the number of writes follows the work`() {
        val machines = 300
        val world = startedWorld(machines)
        world.runUntil(20_000)
        val jobs = 240
        val writesBefore = world.store.writeCount

        for (index in 0 until jobs) {
            world.runUntil(20_000 + index * 100L)
            val isService = index % 4 != 0
            val description = mapOf(
                "team" to "t${index % TEAMS}",
                "tasks" to if (isService) "2" else "60",
                "kind" to if (isService) "service" else "array",
                "run" to "8",
                "spot" to "true",
            )
            world.submit(index, description, taskMs = 8_000)
        }
        world.runUntil(70_000)

        assertNoViolations(world)
        val completedArrays = world.jobs.values.count { it.completedTasks.size == it.spec.taskCount }
        assertEquals(60, completedArrays, "completed arrays")
        val replicas = world.workers.values.sumOf { worker ->
            worker.startedTasks().count { world.jobs.getValue(it.jobId).spec.isService }
        }
        assertEquals(360, replicas)
        // Each job is accepted with one write, and the end of each array takes two more; pages and usage totals are
        // written at rates of their own.
        val writes = world.store.writeCount - writesBefore
        val writesPerS = (writes - jobs - 2 * 60) / 50.0
        assertTrue(writesPerS < 36, "$writesPerS writes per second besides acceptances and ends of jobs")
        assertPassesAtMost(world, 10 * 70, "70 s")
        // Heartbeats are sent every three seconds and at changes of tasks; each task takes a few direct calls.
        assertTrue(world.messageCount < machines * 70 / 3 * 1.2 + 4_000 * 4, "${world.messageCount} messages")
    }

    /**
     * With 1.5 times the machines of the largest cluster that was planned for, the number of writes is proportional to
     * jobs and pages, not to tasks, and the number of messages to tasks, not to machines times tasks.
     */
    @Test
    fun `sixteen hundred machines run ten thousand tasks`() {
        val machines = 1_600
        val world = startedWorld(machines, cpusPerTeam = 6_000.0)
        world.runUntil(30_000)
        val writesBefore = world.store.writeCount
        val messagesBefore = world.messageCount

        for (index in 0 until 100) {
            val description = mapOf(
                "team" to "t${index % TEAMS}",
                "tasks" to "100",
                "cpus" to "2",
                "run" to "5",
                "spot" to "true",
            )
            world.submit(index, description, taskMs = 5_000)
        }
        world.runUntil(60_000)

        assertNoViolations(world)
        assertEquals(10_000, world.jobs.values.sumOf { it.completedTasks.size })
        assertEquals(10_000, world.rules.startCounts.values.sum(), "starts, one for each task")
        // Each job takes one write for its acceptance and two for its end; a page holds a few dozen tasks and is
        // written a few times.
        val writes = world.store.writeCount - writesBefore
        assertTrue(writes < 3 * 100 + 10_000 / 8, "$writes writes")
        // Idle machines send a heartbeat every three seconds; busy ones, with six tasks each, send one at each of the
        // three state changes of a task, and one when it is forgotten.
        val messages = world.messageCount - messagesBefore
        assertTrue(messages < machines * 30 / 3 * 1.2 + 10_000 * 4, "$messages messages")
        assertPassesAtMost(world, 10 * 60, "60 s")
    }

    @Test
    fun `many jobs placed at once are stored in transactions that the store accepts`() {
        val world = startedWorld(machines = 20, valueBytes = 32 * 1024, isSpot = { false })
        world.runUntil(8_000)

        // To all controllers: a single one accepts 64 submissions at a time and tells other users to retry later.
        repeat(100) { world.submit(it, mapOf("team" to "t0", "tasks" to "1", "kind" to "service"), taskMs = 0) }
        world.runUntil(60_000)

        assertNoViolations(world)
        assertEquals(100, world.workers.values.sumOf { it.startedTasks().size })
    }

    @Test
    fun `a shard's machine list is split into records below the size limit`() {
        val records = (0 until 200).map { MachineRecord("host-%06d".format(it), "m", "x", it % 2 == 0) }

        val part = MachineListPart.EMPTY.withMachinesThatFit(records, 1024)

        val isBelowLimit = BodyCodec.jsonSize(part.toFields()) <= 1024
        assertTrue(isBelowLimit && part.records.size in 20..199, "${part.records.size} machines")
        assertEquals(part, part.withMachinesThatFit(records.take(10), 1024))
        val parsed = MachineListPart.parse(BodyCodec.readCbor(BodyCodec.writeCbor(part.toFields())))
        assertEquals(part, parsed.copy(records = part.records))
    }

    @Test
    fun `deferred writes leave part of the rate to urgent writes, and urgent writes to users' writes`() {
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

        // A transaction of more writes than the bucket holds (one second's permits) is sent once the bucket is full;
        // the permits that it lacked are repaid afterwards.
        now += 1_000
        assertEquals(0L, limiter.tryAcquire(16, WritePriority.URGENT))
        assertTrue(limiter.tryAcquire(1, WritePriority.USER) >= 700)
    }

    private companion object {
        const val CONTROLLERS = 3
        const val TEAMS = 6
    }
}
