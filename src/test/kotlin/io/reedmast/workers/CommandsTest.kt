package io.reedmast.workers

import io.reedmast.jobs.Job
import io.reedmast.jobs.Placement
import io.reedmast.jobs.ShardState
import io.reedmast.jobs.StopReason
import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.settings.TeamId
import io.reedmast.settings.Tuning
import io.reedmast.sim.RecordingGateway
import io.reedmast.sim.World
import io.reedmast.sim.testSettings
import io.reedmast.wire.MachineType
import io.reedmast.wire.Order
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CommandsTest {
    private val clock = object : Clock {
        override fun now() = 10_000L

        override fun wall() = 10_000L
    }
    private val machineType = MachineType("m", 4.0, 0.0, 64.0, 50.0, 0.5, 1.0, 0.3, 5.0, listOf("x"))
    private val settings = testSettings()
    private val out = RecordingGateway()
    private val shardState = ShardState(ShardId(0), settings, Tuning(), clock, { listOf(machineType) }, { true })
    private val commands = Commands(shardState, out) { _, _ -> }
    private val machine = Machine(HostRecord("host-1", "m", "x", false), machineType, 0, 0).apply {
        addr = "10.1.0.1:9000"
        trusted = true
        session = 1
        lastHeardAt = 10_000L
    }

    private fun placed(): Placement {
        val job = Job(World.spec("wk-1", mapOf("tasks" to "1")), TeamId(0), 10, 0, 1)
        val placement = Placement(job, 0, 1, machine, 10_000).apply { committed = true }
        shardState.place(placement)
        commands.launch(placement)
        return placement
    }

    @Test
    fun `a launch that was decided is sent`() {
        val placement = placed()
        commands.send()
        assertEquals(listOf<Order>(Order.Launch(placement.id, 1)), out.directOrders)
    }

    /**
     * Launches wait for the next tick, which at size comes late. Meanwhile the job is cancelled, and a report without the task
     * ends its placement: sent after that, the launch started a cancelled task, or one that was already placed elsewhere.
     */
    @Test
    fun `a launch whose placement has ended meanwhile is not sent`() {
        val placement = placed()
        commands.stop(placement, StopReason.ABORTED)
        shardState.finish(placement, done = false)
        commands.send()
        assertEquals(emptyList<Order>(), out.directOrders)
    }

    @Test
    fun `a launch whose placement is to be stopped is not sent`() {
        commands.stop(placed(), StopReason.DRAINED)
        commands.send()
        assertEquals(emptyList<Order>(), out.directOrders)
    }
}
