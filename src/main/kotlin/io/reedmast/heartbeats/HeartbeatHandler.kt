package io.reedmast.heartbeats

import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangCoordinator
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.wire.TaskId
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerStatus

/**
 * Applies the statuses of workers, and decides on the commands that answer their heartbeats (PROTOCOL, POST /checkin).
 *
 * Only a status made under this owner's token counts: until the worker has seen that token, an earlier owner's commands
 * may still reach it.
 */
class HeartbeatHandler(
    private val shardState: ShardState,
    dispatcher: CommandDispatcher,
    gangs: GangCoordinator,
    /** Whether a job, of any shard, is known to be cancelled or to have ended. */
    isCancelledOrEnded: (jobId: String) -> Boolean,
    /** Requests a new token for the shard, because a worker has seen a higher one than this owner's. */
    renewToken: () -> Unit,
) {
    private val statusEvaluator = StatusEvaluator(shardState, renewToken)
    private val reportedTasks = ReportedTaskHandler(dispatcher, TaskEndHandler(shardState, gangs))
    private val unknownTasks = UnknownTaskHandler(shardState, isCancelledOrEnded)
    private val missingTasks = MissingTaskHandler(shardState, dispatcher, gangs)

    /** Applies a heartbeat and decides on its answer; no commands if the machine is not one of the shard's. */
    fun onHeartbeat(status: WorkerStatus): HeartbeatResult {
        val machine = shardState.machines[status.machineName]
            ?: return HeartbeatResult(emptyList(), StatusEvidence.UNKNOWN_MACHINE)
        return apply(machine, status, StatusSource.HEARTBEAT)
    }

    /** Applies the status of [machine] that came as the reply to a direct call, to which no answer can be sent. */
    fun onStatusReport(machine: Machine, status: WorkerStatus) {
        apply(machine, status, StatusSource.DIRECT_CALL)
    }

    private fun apply(machine: Machine, status: WorkerStatus, source: StatusSource): HeartbeatResult {
        val now = shardState.clock.now()
        val evidence = statusEvaluator.evaluate(machine, status, source, now)
        if (evidence != StatusEvidence.CURRENT) return HeartbeatResult(emptyList(), evidence)
        val answer = AnswerCommands()
        val listed = HashSet<TaskId>()
        unknownTasks.resetUnknownUsage(machine)
        for (reported in status.tasks) {
            val placement = placementOf(machine, reported)
            if (placement == null) {
                unknownTasks.onUnknown(machine, reported)?.let { answer.add(it) }
            } else {
                listed.add(reported.id)
                reportedTasks.onReported(placement, reported, now).forEach { answer.add(it) }
            }
        }
        val missing = machine.placements.values.filter { it.committed && it.id !in listed }
        val isAnswerPresumedLost = source == StatusSource.HEARTBEAT && hasUnconfirmedLaunch(missing)
        missing.forEach { missingTasks.onMissing(it, status, source, answer) }
        unknownTasks.recordReportBytes(machine, status)
        // Counted last, so that the missing tasks above are handled with Machine.usable as it was before this status.
        if (isAnswerPresumedLost) machine.unacknowledgedAnswers++
        return HeartbeatResult(answer.commands, evidence)
    }

    /** The stored placement of the reported attempt; null if there is none. */
    private fun placementOf(machine: Machine, reported: TaskStatus): Placement? =
        machine.placements[reported.id]?.takeIf { it.attempt == reported.attempt && it.committed }

    /** Whether an earlier answer carried the launch of a task that is still missing, and so seems to be lost. */
    private fun hasUnconfirmedLaunch(missing: List<Placement>) =
        missing.any { it.launchesSentSinceReported > 0 } && shardState.isCurrent()
}
