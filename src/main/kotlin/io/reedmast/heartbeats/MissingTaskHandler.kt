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
     * Handles [placement], whose task is absent from [status], as [MissingTask] classifies it. Adds the commands for
     * the answer to the heartbeat with [status] to [answer].
     */
    fun onMissing(placement: Placement, status: WorkerStatus, source: StatusSource, answer: AnswerCommands) {
        when (MissingTask.of(placement, status, source, FencingToken.lastOfRange(shardState.token))) {
            MissingTask.LOST -> {
                logLost(placement)
                shardState.finish(placement, done = false)
            }

            MissingTask.LOST_AND_RESTARTABLE -> {
                logLost(placement)
                placement.job.recordLost(placement)
                if (source == StatusSource.HEARTBEAT) launchIfAllowed(placement, status, answer)
            }

            MissingTask.LAUNCH_DUE -> launchIfAllowed(placement, status, answer)

            MissingTask.LATE_LAUNCH_POSSIBLE -> launchAndStop(placement, status, answer)

            MissingTask.SUPERSEDED, MissingTask.STOPPED -> shardState.finish(placement, done = false)

            MissingTask.NO_ANSWER_POSSIBLE, MissingTask.DIRECT_CALL_PENDING, MissingTask.ANSWER_PENDING -> {}
        }
    }

    private fun logLost(placement: Placement) = log.info(
        "task {} attempt {}: lost when an epoch of machine {} ended",
        placement.id,
        placement.attempt,
        placement.machine.name,
    )

    /**
     * Launches the task, if that is allowed now. During a store outage, heartbeats are still answered so that running
     * tasks keep running, but no task is started: the cancellation of its job may have been confirmed to the user.
     */
    private fun launchIfAllowed(placement: Placement, status: WorkerStatus, answer: AnswerCommands) {
        val launch = WorkerCommand.StartTask(placement.id, placement.attempt)
        if (!shardState.isCurrent() || !gangs.mayLaunch(placement) || !answer.hasRoomFor(launch)) return
        recordLaunch(placement, status)
        answer.add(launch)
    }

    /** Once launched and stopped, the attempt is known to the worker as ended, so a late launch has no effect. */
    private fun launchAndStop(placement: Placement, status: WorkerStatus, answer: AnswerCommands) {
        val launch = WorkerCommand.StartTask(placement.id, placement.attempt)
        val stop = dispatcher.stopCommand(placement)
        if (!answer.hasRoomFor(launch, stop)) return
        recordLaunch(placement, status)
        answer.add(launch)
        answer.add(stop)
    }

    private fun recordLaunch(placement: Placement, status: WorkerStatus) {
        placement.launchEpoch = placement.machine.epoch
        placement.launchSequence = status.sequence
        placement.launchesSentSinceReported++
    }
}
