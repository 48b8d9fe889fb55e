package io.reedmast.heartbeats

import io.reedmast.model.FencingToken
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.wire.MessageSizes
import io.reedmast.wire.TaskId
import io.reedmast.wire.TaskState
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus

/** Handles tasks on a machine that have no stored placement: they are stopped, and forgotten once they have ended. */
internal class UnknownTaskHandler(
    private val shardState: ShardState,
    /** Whether a job, of any shard, is known to be cancelled or to have ended. */
    private val isCancelledOrEnded: (jobId: String) -> Boolean,
) {
    private val minMsBetweenTokenRaises = shardState.settings.workers.leaseS * MS_PER_S / 2

    /** Called before the tasks of a new status are handled, from which the usage of unknown tasks is summed up anew. */
    fun resetUnknownUsage(machine: Machine) {
        machine.unknownTaskCpus = 0.0
        machine.unknownTaskGpus = 0.0
        machine.unknownTaskMemoryGb = 0.0
    }

    /** Called after the tasks of a new status were handled: records what those without a placement take in it. */
    fun recordReportBytes(machine: Machine, status: WorkerStatus) {
        machine.unknownTaskReportBytes = status.tasks
            .filter { machine.placements[it.id]?.attempt != it.attempt }
            .sumOf { MessageSizes.reportedTaskBytes(it.id.jobId, maySave = true) }
    }

    /** Returns the command for the answer; null if there is none for now. */
    fun onUnknown(machine: Machine, reported: TaskStatus): WorkerCommand? {
        val job = shardState.jobs[reported.id.jobId]
        return when {
            machine.isContested && job == null -> onTaskOfOtherShard(reported)
            reported.state == TaskState.ENDED -> forget(machine, reported, job)
            else -> stop(machine, reported, job)
        }
    }

    private fun stop(machine: Machine, reported: TaskStatus, job: Job?): WorkerCommand {
        if (job != null) addUnknownUsage(machine, job)
        return WorkerCommand.StopTask(reported.id, reported.attempt, graceS = 0.0)
    }

    /**
     * Handles a task on a machine that another shard's record contains too: that shard's tasks are left alone, and
     * those that have ended are kept until its owner has stored their ends. Tasks of jobs that are cancelled or have
     * ended are stopped by whichever owner answers the worker.
     */
    private fun onTaskOfOtherShard(reported: TaskStatus): WorkerCommand? {
        if (reported.state == TaskState.ENDED || !isCancelledOrEnded(reported.id.jobId)) return null
        return WorkerCommand.StopTask(reported.id, reported.attempt, graceS = 0.0)
    }

    private fun addUnknownUsage(machine: Machine, job: Job) {
        machine.unknownTaskCpus += job.spec.cpus
        machine.unknownTaskGpus += job.spec.gpus
        machine.unknownTaskMemoryGb += job.spec.memoryGb
    }

    /**
     * Forgets an ended attempt, but only after its result is stored, and not while a direct launch of it may still
     * arrive: a late launch would start a forgotten attempt again.
     */
    private fun forget(machine: Machine, reported: TaskStatus, job: Job?): WorkerCommand? {
        if (job != null && !isResultStored(job, reported.id)) return null
        if (machine.directLaunches.mayStillStart(reported.id, reported.attempt)) {
            raiseToken(machine)
            return null
        }
        return WorkerCommand.ForgetTask(reported.id, reported.attempt)
    }

    private fun isResultStored(job: Job, id: TaskId) =
        id.task < job.spec.taskCount && job.chunkOf(id.task).isStored && !job.isFinalRecordInFlight

    /**
     * Raises the worker's token to invalidate earlier direct calls, so that the attempts they launched can be
     * forgotten.
     *
     * Calls that were carried out are sometimes repeated, minutes later (PROTOCOL, Delayed messages): the copy of a
     * launch starts its attempt again once that is forgotten, wherever the task then runs and even if its job was
     * cancelled.
     *
     * A worker sends a heartbeat for a new token at most once in half a lease, so the token is not raised more often.
     * It is not raised either while a direct call by this owner is pending, which the worker would then refuse.
     */
    private fun raiseToken(machine: Machine) {
        val now = shardState.clock.now()
        if (machine.pendingDirectCalls > 0 || now - machine.tokenRaisedAt < minMsBetweenTokenRaises) return
        val raised = shardState.tokenFor(machine) + 1
        if (raised > FencingToken.lastOfRange(shardState.token)) return
        machine.raisedToken = raised
        machine.tokenRaisedAt = now
    }

    private companion object {
        const val MS_PER_S = 1000.0
    }
}
