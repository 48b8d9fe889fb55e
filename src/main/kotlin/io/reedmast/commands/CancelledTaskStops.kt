package io.reedmast.commands

import io.reedmast.wire.TaskId
import io.reedmast.wire.TaskState
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import io.reedmast.wire.fittingOneMessage

/**
 * The stops of reported tasks whose jobs are cancelled (PROTOCOL, POST /submissions/{id}/abort).
 *
 * A cancellation is final and a stop can be repeated, so such a stop needs neither a current status nor a restored
 * shard. A launch or a `forget` does.
 */
class CancelledTaskStops(
    /** Whether a job, of any shard, is known to be cancelled or to have ended. */
    private val isCancelledOrEnded: (jobId: String) -> Boolean,
) {
    /**
     * [commands], followed by the stops they lack of unfinished tasks in [status] whose jobs are cancelled or over. If
     * one message has no room for all, the added stops come first and what does not fit is left out.
     */
    fun addTo(commands: List<WorkerCommand>, status: WorkerStatus): List<WorkerCommand> {
        val stops = missingFrom(commands, status)
        val all = commands + stops
        return if (all.fittingOneMessage().size == all.size) all else (stops + commands).fittingOneMessage()
    }

    /** The stops that [commands] lack of unfinished tasks in [status] whose jobs are cancelled or over. */
    fun missingFrom(commands: List<WorkerCommand>, status: WorkerStatus): List<WorkerCommand.StopTask> =
        missingFrom(commands.filterIsInstance<WorkerCommand.StopTask>().mapTo(HashSet()) { Attempt.of(it) }, status)

    private fun missingFrom(stopped: Set<Attempt>, status: WorkerStatus): List<WorkerCommand.StopTask> =
        status.tasks.filter { isStopDue(it) && Attempt(it.id, it.attempt) !in stopped }
            .map { WorkerCommand.StopTask(it.id, it.attempt, graceS = 0.0) }

    private fun isStopDue(task: TaskStatus) = task.state != TaskState.ENDED && isCancelledOrEnded(task.id.jobId)

    private data class Attempt(val task: TaskId, val number: Long) {
        companion object {
            fun of(stop: WorkerCommand.StopTask) = Attempt(stop.id, stop.attempt)
        }
    }
}
