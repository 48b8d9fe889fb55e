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
import io.reedmast.wire.MachineType
import io.reedmast.wire.Tree
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** What a fleet of hundreds costs, in counted work and not in time: changes stored, messages, passes. */
class CountedWorkTest {
    private val nodes = 3
    private var machines = 300
    private var cpus = 800.0
    private var valueBytes = 8192
    private val machineTypes = listOf(MachineType("m", 16.0, 0.0, 64.0, 50.0, 0.5, 1.0, 0.3, 30.0, listOf("x")))

    private fun settings(node: Int) = Settings(
        label = "n$node",
        front = World.address(node, 8080),
        clusterListen = World.address(node, 8081),
        members = (0 until nodes).map { Member("n$it", World.address(it, 8081)) },
        self = ControllerId(node),
        cloudAddress = "10.2.0.2:1",
        storeAddress = "10.2.0.1:1",
        zones = listOf("x"),
        teams = (0 until 6).map { TeamShare("t$it", cpus, cpus * 1.5, 0.0, 0.0) },
        objectives = emptyList(),
        workers = WorkerRules(3.0, 16.0, 41.0),
        storeLimits = StoreLimits(150.0, 50.0, valueBytes, 16),
        nextStoreLimits = null,
        cloudLimits = CloudLimits(2.0, 5.0),
        maxConnections = 1000,
    )

    @Test
    fun `a fleet of hundreds stays within the limits, and what is stored follows the work`() {
        val world = World(::settings, nodes, machineTypes)
        world.capacity = machines
        repeat(machines) { world.addWorker("m", "x", it % 2 == 0, 0) }
        world.nodes.forEach { it.start() }
        world.runUntil(20_000)
        val jobs = 240
        val before = world.state.changes
        for (i in 0 until jobs) {
            world.runUntil(20_000 + i * 100L)
            val service = i % 4 != 0
            val args = mapOf(
                "team" to "t${i % 6}",
                "tasks" to if (service) "2" else "60",
                "kind" to if (service) "service" else "array",
                "run" to "8",
                "spot" to "true",
            )
            val jobId = "wk-%06d".format(i)
            val spec = World.spec(jobId, args)
            world.jobs[jobId] = World.SimJob(spec, 8_000, false)
            world.nodes[i % nodes].ask(jobId, { c, answer -> c.submit(spec, answer) })
        }
        world.runUntil(70_000)
        assertEquals(emptyList<String>(), world.rules.broken)
        assertEquals(
            60,
            world.rules.told.keys.size.let {
                world.jobs.values.count { job ->
                    job.completed.size ==
                        job.spec.taskCount
                }
            },
            "arrays that are over",
        )
        assertEquals(
            360,
            world.workers.values.sumOf { w ->
                w.onMachine().count { world.jobs.getValue(it.jobId).spec.service }
            },
        )
        val seconds = 50
        val stored = world.state.changes - before
        // An acceptance for each job, two more for the end of each array; pages and totals at their own rate.
        val perSecond = (stored - jobs - 2 * 60) / seconds.toDouble()
        assertTrue(perSecond < 36, "$perSecond changes a second besides acceptances and ends")
        for (node in world.nodes) {
            val passes = checkNotNull(node.controller).cluster.owned().sumOf { it.scheduler.passes }
            assertTrue(passes <= 10 * 70, "$passes passes in 70 s")
        }
        // HeartbeatHandler every three seconds and at changes, and a few direct commands for each task.
        assertTrue(world.messages < machines * 70 / 3 * 1.2 + 4_000 * 4, "${world.messages} messages")
    }

    /**
     * Half as many machines again as the largest fleet that was planned for: what is stored follows jobs and pages, not
     * tasks, and what is sent follows tasks, not machines times tasks.
     */
    @Test
    fun `sixteen hundred machines take ten thousand tasks`() {
        machines = 1_600
        cpus = 6_000.0
        val world = World(::settings, nodes, machineTypes)
        world.capacity = machines
        repeat(machines) { world.addWorker("m", "x", it % 2 == 0, 0) }
        world.nodes.forEach { it.start() }
        world.runUntil(30_000)
        val before = world.state.changes
        val messages = world.messages
        for (i in 0 until 100) {
            val jobId = "wk-%06d".format(i)
            val spec = World.spec(
                jobId,
                mapOf(
                    "team" to "t${i % 6}",
                    "tasks" to "100",
                    "cpus" to "2",
                    "run" to "5",
                    "spot" to "true",
                ),
            )
            world.jobs[jobId] = World.SimJob(spec, 5_000, false)
            world.nodes[i % nodes].ask(jobId, { c, answer -> c.submit(spec, answer) })
        }
        world.runUntil(60_000)
        assertEquals(emptyList<String>(), world.rules.broken)
        assertEquals(10_000, world.jobs.values.sumOf { it.completed.size })
        assertEquals(10_000, world.rules.starts.values.sum(), "each task once")
        // An acceptance and two for the end of each job; a page holds a few dozen tasks, and is stored a few times.
        val stored = world.state.changes - before
        assertTrue(stored < 3 * 100 + 10_000 / 8, "$stored changes")
        // Idle machines report every three seconds; a busy one at three changes of each of its six tasks, and once to
        // forget.
        val sent = world.messages - messages
        assertTrue(sent < machines * 30 / 3 * 1.2 + 10_000 * 4, "$sent messages")
        for (node in world.nodes) {
            val passes = checkNotNull(node.controller).cluster.owned().sumOf { it.scheduler.passes }
            assertTrue(passes <= 10 * 60, "$passes passes in 60 s")
        }
    }

    @Test
    fun `many jobs placed at one moment are stored in transactions that the service takes`() {
        valueBytes = 32 * 1024
        val world = World(::settings, nodes, machineTypes)
        world.capacity = 20
        repeat(20) { world.addWorker("m", "x", false, 0) }
        world.nodes.forEach { it.start() }
        world.runUntil(8_000)
        for (i in 0 until 100) {
            val jobId = "wk-%06d".format(i)
            val spec = World.spec(jobId, mapOf("team" to "t0", "tasks" to "1", "kind" to "service"))
            world.jobs[jobId] = World.SimJob(spec, 0, false)
            // Over all nodes: one alone takes 64 submissions at a time, and tells other users to come back.
            world.nodes[i % nodes].ask(jobId, { c, answer -> c.submit(spec, answer) })
        }
        world.runUntil(60_000)
        assertEquals(emptyList<String>(), world.rules.broken)
        assertEquals(100, world.workers.values.sumOf { it.onMachine().size })
    }

    @Test
    fun `a slice's machines are spread over records below the limit`() {
        val records = (0 until 200).map { MachineRecord("host-%06d".format(it), "m", "x", it % 2 == 0) }
        val first = MachineListPart.EMPTY.with(records, 1024)
        assertTrue(
            Tree.jsonSize(first.toFields()) <= 1024 && first.records.size in 20..199,
            "${first.records.size} machines",
        )
        assertEquals(first, first.with(records.take(10), 1024))
        assertEquals(
            first,
            MachineListPart.parse(Tree.readCbor(Tree.writeCbor(first.toFields()))).copy(records = first.records),
        )
    }

    @Test
    fun `clean-up leaves part of the budget to work, and work to users`() {
        var now = 0L
        val writeLimiter = WriteRateLimiter(10.0) { now }
        assertEquals(0L, writeLimiter.tryAcquire(5, WritePriority.DEFERRED))
        assertTrue(writeLimiter.tryAcquire(1, WritePriority.DEFERRED) > 0)
        assertEquals(0L, writeLimiter.tryAcquire(2, WritePriority.URGENT))
        assertEquals(100L, writeLimiter.tryAcquire(1, WritePriority.URGENT))
        assertEquals(0L, writeLimiter.tryAcquire(3, WritePriority.USER))
        assertEquals(100L, writeLimiter.tryAcquire(1, WritePriority.USER))
        now += 100
        assertEquals(300L, writeLimiter.tryAcquire(1, WritePriority.URGENT))
        assertEquals(0L, writeLimiter.tryAcquire(1, WritePriority.USER))
        // A transaction larger than a second's worth goes out once the bucket is full, and is paid for afterwards.
        now += 1_000
        assertEquals(0L, writeLimiter.tryAcquire(16, WritePriority.URGENT))
        assertTrue(writeLimiter.tryAcquire(1, WritePriority.USER) >= 700)
    }
}
