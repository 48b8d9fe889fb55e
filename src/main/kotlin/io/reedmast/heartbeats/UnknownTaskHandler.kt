package io.reedmast.heartbeats

import io.reedmast.model.FencingToken
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.wire.TaskId
import io.reedmast.wire.TaskState
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerCommand

/** Tasks on a machine that no stored placement accounts for: they are stopped, and forgotten once they have ended. */
internal class UnknownTaskHandler(
    private val shardState: ShardState,
    /** Whether a job of any shard is known to be cancelled or over. */
    private val isCancelledOrEnded: (jobId: String) -> Boolean,
) {
    private val minMsBetweenTokenRaises = shardState.settings.workers.leaseS * MS_PER_S / 2

    /** Called before the tasks of a new status are handled: it says anew what unknown tasks use on the machine. */
    fun resetUnknownUsage(machine: Machine) {
        machine.unknownTaskCpus = 0.0
        machine.unknownTaskGpus = 0.0
        machine.unknownTaskMemoryGb = 0.0
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
     * Another shard's record names the machine too: its work there is left alone, and its ends are kept until that
     * shard's owner has stored them. Cancelled work is stopped by whoever answers the worker.
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

    /** Once forgotten, the attempt would start again if its launch came late; and its result must be stored first. */
    private fun forget(machine: Machine, reported: TaskStatus, job: Job?): WorkerCommand? {
        if (job != null && !isResultStored(job, reported.id)) return null
        if (machine.mayStillLaunch(reported.id, reported.attempt)) {
            raiseToken(machine)
            return null
        }
        return WorkerCommand.ForgetTask(reported.id, reported.attempt)
    }

    private fun isResultStored(job: Job, id: TaskId) =
        id.task < job.spec.taskCount && job.chunkOf(id.task).isStored && !job.isFinalRecordInFlight

    /**
     * Makes earlier direct calls to the worker void, so that their attempts can be forgotten.
     *
     * Calls that were carried out are repeated at times, minutes later (PROTOCOL, Delayed messages): the copy of a
     * launch starts its attempt anew once it is forgotten, wherever the task then runs and even if its job was
     * cancelled. A worker sends a heartbeat for a new token no more than once in half a lease, and no call of ours must
     * be on its way that the new token would refuse.
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
