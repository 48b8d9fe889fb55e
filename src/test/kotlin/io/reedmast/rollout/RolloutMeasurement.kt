package io.reedmast.rollout

import io.reedmast.sim.Scenario
import io.reedmast.sim.SimOperator
import io.reedmast.sim.World
import org.HdrHistogram.Histogram
import java.lang.management.ManagementFactory
import kotlin.random.Random

/**
 * Measures the costs and gains of rolling out dense pages in the simulated world, compared with the same days without
 * the rollout: `RolloutMeasurementKt 150 1500`, with the numbers of machines as arguments.
 *
 * Times are simulated. The CPU time is that of the whole process, which includes the simulated components; all of it
 * runs on one thread.
 */
private class RolloutMeasurement(private val machines: Int, private val rollOut: Boolean) {
    private val random = Random(machines)
    private val latency = Histogram(MAX_WAIT_MS, 3)
    private var submissions = 0

    private fun scenarioHead(): List<String> = listOf(
        "controllers 3",
        "seed 1",
        "value-kb 8",
        "next-store-limits 2 5",
        "store-limits 35 500 10000",
        "machine-type m 8 5",
        "machines $machines m x",
        "capacity $machines",
    ) + (0 until TEAMS).map { "team t$it $machines ${machines * 8}" }

    private fun submit(world: World, kind: String, tasks: Int, team: String) {
        val jobId = "wk-%06d".format(++submissions)
        val spec = World.spec(
            jobId,
            mapOf(
                "kind" to kind,
                "tasks" to "$tasks",
                "team" to team,
                "run" to "20",
                "priority" to if (kind == "service") "urgent" else "standard",
            ),
        )
        world.jobs[jobId] = World.SimJob(spec, RUN_MS, false)
        submitUntilAccepted(world, spec.jobId, world.now())
    }

    /** Submits the job and, like a user, retries a submission that is refused because of overload. */
    private fun submitUntilAccepted(world: World, jobId: String, since: Long) {
        if (world.now() - since > MAX_WAIT_MS) return
        val spec = world.jobs.getValue(jobId).spec
        world.controllers.random(random).sendRequest(jobId, { controller, answer -> controller.submit(spec, answer) }) {
            if (it.status < FIRST_REFUSED_STATUS) {
                latency.recordValue(world.now() - since)
            } else {
                world.after(RETRY_MS) { submitUntilAccepted(world, jobId, since) }
            }
        }
    }

    private fun generateLoad(world: World) {
        repeat(maxOf(1, machines / MACHINES_PER_JOB_A_SECOND)) {
            val service = random.nextInt(3) == 0
            submit(
                world,
                if (service) "service" else "array",
                if (service) random.nextInt(1, 3) else random.nextInt(5, 60),
                "t${random.nextInt(TEAMS)}",
            )
        }
        world.after(1_000) { generateLoad(world) }
    }

    private class Window(
        val name: String,
        val changes: Int,
        val pages: Int,
        val cpuMs: Long,
        val p50: Long,
        val p99: Long,
    )

    private fun window(world: World, name: String, seconds: Int): Window {
        latency.reset()
        val changes = world.store.writeCount
        val pages = world.store.putsByKind["page"] ?: 0
        val cpu = cpuMs()
        world.runUntil(world.now() + seconds * 1_000L)
        val newPages = (world.store.putsByKind["page"] ?: 0) - pages
        return Window(
            name,
            world.store.writeCount - changes,
            newPages,
            cpuMs() - cpu,
            latency.getValueAtPercentile(MEDIAN),
            latency.getValueAtPercentile(PERCENTILE_99),
        )
    }

    private fun cpuMs() = ManagementFactory.getThreadMXBean().currentThreadCpuTime / 1_000_000

    private fun await(world: World, condition: () -> Boolean): Long {
        val since = world.now()
        while (!condition() && world.now() - since < MAX_WAIT_MS) world.runUntil(world.now() + STEP_MS)
        return world.now() - since
    }

    fun run() {
        val scenario = Scenario(
            scenarioHead() + "at 5 submit wk-900000 kind=service team=t0 tasks=1 priority=urgent retry=true",
        ).also {
            it.run()
        }
        val world = scenario.world
        repeat(machines / MACHINES_PER_SERVICE) { submit(world, "service", 2, "t${it % TEAMS}") }
        generateLoad(world)
        world.runUntil(WARM_UP_MS)
        val windows = arrayListOf(window(world, "before", WINDOW_S))
        val operator = SimOperator(world)
        if (rollOut) {
            operator.act(listOf("enable", "fenced-tokens"))
            operator.act(listOf("enable", "dense-pages"))
            val enabled = await(world) { operator.gateState("dense-pages") == "enabled" }
            val pages = world.store.all("page/").size
            latency.reset()
            val changes = world.store.writeCount
            val migrated = await(world) { operator.isMigrated("dense-pages") }
            println("  enabled after $enabled ms, $pages pages migrated $migrated ms later")
            println(
                "  meanwhile ${world.store.writeCount - changes} changes, accepted p99 ${latency.getValueAtPercentile(
                    PERCENTILE_99,
                )} ms",
            )
        }
        world.runUntil(AFTER_MS)
        windows.add(window(world, "after", WINDOW_S))
        for (it in windows) {
            println(
                "  ${it.name}: changes ${it.changes}, pages ${it.pages}, " +
                    "accepted p50 ${it.p50} p99 ${it.p99} ms, processor ${it.cpuMs} ms",
            )
        }
        println("  pages stored ${world.store.all("page/").size}, broken rules ${world.rules.violations}")
    }

    private companion object {
        const val TEAMS = 6
        const val RUN_MS = 20_000L
        const val MAX_WAIT_MS = 300_000L
        const val RETRY_MS = 1_500L
        const val FIRST_REFUSED_STATUS = 429
        const val MACHINES_PER_JOB_A_SECOND = 300
        const val MACHINES_PER_SERVICE = 3
        const val STEP_MS = 100L
        const val WARM_UP_MS = 60_000L
        const val WINDOW_S = 90

        /** By this time the migration has finished for each number of machines. */
        const val AFTER_MS = 400_000L
        const val MEDIAN = 50.0
        const val PERCENTILE_99 = 99.0
    }
}

/** Runs each number of machines without and with the rollout. */
fun main(args: Array<String>) {
    for (machines in args.map { it.toInt() }) {
        for (rollOut in listOf(false, true)) {
            println("$machines machines, ${if (rollOut) "dense pages rolled out" else "nothing rolled out"}")
            RolloutMeasurement(machines, rollOut).run()
        }
    }
}
