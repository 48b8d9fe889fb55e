package io.reedmast.heartbeats

import io.reedmast.commands.CommandDispatcher
import io.reedmast.model.Placement
import io.reedmast.model.StopReason
import io.reedmast.wire.TaskEndCause
import io.reedmast.wire.TaskState
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerCommand

/** Handles the tasks in a worker's status that have a stored placement. */
internal class ReportedTaskHandler(private val dispatcher: CommandDispatcher, private val taskEnds: TaskEndHandler) {
    /**
     * Records what [reported] shows about [placement], and returns the commands for the answer to the heartbeat that
     * contained it.
     */
    fun onReported(placement: Placement, reported: TaskStatus, now: Long): List<WorkerCommand> {
        recordReported(placement)
        when (reported.state) {
            TaskState.FETCHING -> {}

            TaskState.WAITING -> recordImage(placement)

            TaskState.RUNNING, TaskState.SAVING -> recordRunning(placement, now)

            TaskState.ENDED -> {
                taskEnds.onEnded(placement, reported.cause ?: TaskEndCause.ERROR, now)
                return emptyList()
            }
        }
        val isSaving = reported.state == TaskState.SAVING
        // A gang's task that is saving without a stop by this owner was stopped by an earlier owner, which had begun to
        // stop the gang. The other tasks must be stopped soon enough to save at the same time, or nothing is saved.
        if (placement.job.spec.isGang && isSaving) dispatcher.stop(placement, StopReason.DRAINED)
        return if (isStopDue(placement, isSaving)) listOf(dispatcher.stopCommand(placement)) else emptyList()
    }

    private fun recordReported(placement: Placement) {
        placement.isReported = true
        placement.launchEpoch = placement.machine.epoch
        if (placement.launchesSentSinceReported > 0) {
            placement.launchesSentSinceReported = 0
            placement.machine.unacknowledgedAnswers = 0
        }
    }

    private fun recordRunning(placement: Placement, now: Long) {
        if (placement.running) return
        placement.job.recordRunning(placement, now)
        recordImage(placement)
    }

    private fun recordImage(placement: Placement) =
        placement.machine.recordImage(placement.job.spec.image, placement.job.spec.imageGb)

    /** A task that is saving its progress may finish, unless its job is cancelled: saved progress is of no use then. */
    private fun isStopDue(placement: Placement, isSaving: Boolean) = when (placement.stopReason) {
        null -> false
        StopReason.CANCELLED -> true
        StopReason.PREEMPTED, StopReason.DRAINED, StopReason.GANG_INCOMPLETE -> !isSaving
    }
}
