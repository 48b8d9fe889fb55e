package io.reedmast.heartbeats

import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangCoordinator
import io.reedmast.model.FencingToken
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/** Handles stored placements whose tasks are absent from the newest status of their machine. */
internal class MissingTaskHandler(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    private val gangs: GangCoordinator,
) {
    private val log = LoggerFactory.getLogger("shard")

    /**
     * Handles [placement], whose task is absent from [status], as [MissingTask] classifies it. Returns the commands for
     * the answer to the heartbeat with [status].
     */
    fun onMissing(placement: Placement, status: WorkerStatus, source: StatusSource): List<WorkerCommand> =
        when (MissingTask.of(placement, status, source, FencingToken.lastOfRange(shardState.token))) {
            MissingTask.LOST -> {
                logLost(placement)
                shardState.finish(placement, done = false)
                emptyList()
            }

            MissingTask.LOST_AND_RESTARTABLE -> {
                logLost(placement)
                placement.job.recordLost(placement)
                if (source == StatusSource.HEARTBEAT) launchIfAllowed(placement, status) else emptyList()
            }

            MissingTask.LAUNCH_DUE -> launchIfAllowed(placement, status)

            // Once launched and stopped, the attempt is known to the worker as ended, so a late launch has no effect.
            MissingTask.LATE_LAUNCH_POSSIBLE ->
                listOf(launch(placement, status), dispatcher.stopCommand(placement))

            MissingTask.SUPERSEDED, MissingTask.STOPPED -> {
                shardState.finish(placement, done = false)
                emptyList()
            }

            MissingTask.NO_ANSWER_POSSIBLE, MissingTask.DIRECT_CALL_PENDING, MissingTask.ANSWER_PENDING -> emptyList()
        }

    private fun logLost(placement: Placement) = log.info(
        "task {} attempt {}: lost when an epoch of machine {} ended",
        placement.id,
        placement.attempt,
        placement.machine.name,
    )

    /**
     * The launch, if it may be sent now. During a store outage, heartbeats are still answered so that running tasks
     * keep running, but no task is started: the cancellation of its job may have been confirmed to the user.
     */
    private fun launchIfAllowed(placement: Placement, status: WorkerStatus): List<WorkerCommand> =
        if (shardState.isCurrent() && gangs.mayLaunch(placement)) listOf(launch(placement, status)) else emptyList()

    private fun launch(placement: Placement, status: WorkerStatus): WorkerCommand {
        placement.launchEpoch = placement.machine.epoch
        placement.launchSequence = status.sequence
        placement.launchesSentSinceReported++
        return WorkerCommand.StartTask(placement.id, placement.attempt)
    }
}
