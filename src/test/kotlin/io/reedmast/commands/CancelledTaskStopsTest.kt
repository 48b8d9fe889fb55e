package io.reedmast.commands

import io.reedmast.wire.TaskEndCause
import io.reedmast.wire.TaskId
import io.reedmast.wire.TaskState
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import io.reedmast.wire.fittingOneMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CancelledTaskStopsTest {
    private val stops = CancelledTaskStops { it == "wk-1" }
    private val cancelled = TaskId("wk-1", 0)

    private fun status(vararg tasks: TaskStatus) =
        WorkerStatus("host-1", "10.1.0.1:9000", "m", "x", false, 1, 1, 1, null, tasks.toList())

    private fun stop(id: TaskId, graceS: Double = 0.0) = WorkerCommand.StopTask(id, 7, graceS)

    @Test
    fun `a cancelled task in any unfinished state is stopped at once, its neighbour is left alone`() {
        for (state in TaskState.entries - TaskState.ENDED) {
            val neighbour = TaskStatus(TaskId("wk-2", 0), 7, state, null)
            val commands = stops.addTo(emptyList(), status(TaskStatus(cancelled, 7, state, null), neighbour))
            assertEquals(listOf<WorkerCommand>(stop(cancelled)), commands, "$state")
        }
    }

    @Test
    fun `a stop is not repeated, and an ended task needs none`() {
        val ended = TaskStatus(TaskId("wk-1", 1), 7, TaskState.ENDED, TaskEndCause.HALTED)
        val commands = listOf<WorkerCommand>(stop(cancelled, graceS = 2.0))
        assertEquals(commands, stops.addTo(commands, status(TaskStatus(cancelled, 7, TaskState.RUNNING, null), ended)))
    }

    /** Guards against stops that an answer full of launches has no room for. */
    @Test
    fun `stops come first where one message has no room for all commands`() {
        val launches = List(1_000) { WorkerCommand.StartTask(TaskId("wk-2", it), 1L) }
        val commands = stops.addTo(launches, status(TaskStatus(cancelled, 7, TaskState.RUNNING, null)))
        assertEquals(stop(cancelled), commands.first())
        assertEquals(commands, commands.fittingOneMessage())
        assertEquals(launches.take(commands.size - 1), commands.drop(1))
    }
}
