package io.reedmast.heartbeats

import io.reedmast.commands.CommandDispatcher
import io.reedmast.gangs.GangCoordinator
import io.reedmast.model.DecommissionReason
import io.reedmast.model.FencingToken
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.wire.Cause
import io.reedmast.wire.TaskId
import io.reedmast.wire.TaskState
import io.reedmast.wire.TaskStatus
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * What workers' reports prove, and the commands that answer them.
 *
 * Only a report made under our token counts: an older owner's commands may reach the worker until it has seen ours.
 */
class HeartbeatHandler(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    private val gangs: GangCoordinator,
    private val renewToken: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")

    /** Takes in a report and gives the commands for its answer. */
    fun onHeartbeat(status: WorkerStatus): List<WorkerCommand> {
        val machine = shardState.machines[status.machineName] ?: return emptyList()
        val commands = ArrayList<WorkerCommand>()
        return if (process(machine, status, isHeartbeat = true, commands)) commands else emptyList()
    }

    /** A worker's report that came as the answer to a direct command. */
    fun onStatusReport(machine: Machine, status: WorkerStatus) {
        process(machine, status, isHeartbeat = false, ArrayList())
    }

    private fun process(
        machine: Machine,
        status: WorkerStatus,
        isHeartbeat: Boolean,
        commands: MutableList<WorkerCommand>,
    ): Boolean {
        if (!machine.isNewer(status)) return false
        val now = shardState.clock.now()
        if (status.epoch > machine.epoch && machine.everReported) onEpochLost(machine, now)
        machine.addr = status.addr
        machine.show(status)
        machine.sequence = status.sequence
        machine.noticeUntil = if (status.noticeS == null) {
            0L
        } else {
            if (machine.noticeUntil ==
                0L
            ) {
                log.info("machine {}: the cloud takes it back in {} s", machine.name, status.noticeS)
            }
            now + (status.noticeS * 1000).toLong()
        }
        if (status.token > FencingToken.last(shardState.token)) {
            machine.trusted = false
            renewToken()
            return false
        }
        if (isHeartbeat) {
            if (now - machine.answeredAt > shardState.settings.workers.leaseS * 1000 / 2) machine.regularSince = now
            machine.answeredAt = now
        }
        if (status.token < machine.floor) {
            // It may be a late copy from before we owned the shard: it proves neither life nor what is on the machine.
            if (isHeartbeat) machine.unacknowledged++
            return true
        }
        machine.lastHeartbeatAt = now
        machine.everReported = true
        if (!machine.trusted) {
            machine.trusted = true
            machine.trustedAt = now
            machine.unacknowledged = 0
            shardState.passRequested = true
        }
        val listed = HashSet<TaskId>()
        machine.unknownTaskCpus = 0.0
        machine.unknownTaskGpus = 0.0
        machine.unknownTaskMemoryGb = 0.0
        for (reported in status.tasks) {
            val placement = machine.placements[reported.id]
            if (placement != null && placement.attempt == reported.attempt && placement.committed) {
                listed.add(reported.id)
                onReportedTask(machine, placement, reported, now, commands)
            } else {
                onUnknownTask(machine, reported, commands)
            }
        }
        var ignored = false
        for (placement in machine.placements.values.toList()) {
            if (placement.id in listed || !placement.committed) continue
            if (placement.launchesAnswered > 0 && shardState.isCurrent()) ignored = true
            onMissingTask(machine, placement, status, isHeartbeat, commands)
        }
        if (isHeartbeat && ignored) machine.unacknowledged++
        return true
    }

    /**
     * The worker's lease ran out. While its reports came and were answered, that means that our answers do not arrive.
     *
     * A machine that hung, or was cut off, has sent nothing for a whole lease.
     */
    private fun onEpochLost(machine: Machine, now: Long) {
        val leaseMs = shardState.settings.workers.leaseS * 1000
        if (now - machine.answeredAt < leaseMs / 2 && now - machine.regularSince > leaseMs * MOST_OF_LEASE) {
            machine.unacknowledged = maxOf(machine.unacknowledged, Machine.UNREACHABLE_AFTER)
            log.info("machine {}: its lease expired although its heartbeats were answered", machine.name)
        }
    }

    private fun onReportedTask(
        machine: Machine,
        placement: Placement,
        reported: TaskStatus,
        now: Long,
        commands: MutableList<WorkerCommand>,
    ) {
        placement.seen = true
        placement.launchEpoch = machine.epoch
        if (placement.launchesAnswered > 0) {
            placement.launchesAnswered = 0
            machine.unacknowledged = 0
        }
        when (reported.state) {
            TaskState.FETCHING -> {}

            TaskState.WAITING -> machine.recordImage(placement.job.spec.image, placement.job.spec.imageGb)

            TaskState.RUNNING, TaskState.SAVING -> {
                if (!placement.running) {
                    placement.job.recordRunning(placement, now)
                    machine.recordImage(placement.job.spec.image, placement.job.spec.imageGb)
                }
            }

            TaskState.ENDED -> {
                ended(machine, placement, reported.cause ?: Cause.ERROR, now)
                return
            }
        }
        // An owner before us has begun to stop the gang: its other tasks must be told in time, or nothing is saved.
        if (placement.job.spec.gang &&
            reported.state == TaskState.SAVING
        ) {
            dispatcher.stop(placement, StopReason.DRAINED)
        }
        if (placement.stopReason != null &&
            (reported.state != TaskState.SAVING || placement.stopReason == StopReason.CANCELLED)
        ) {
            commands.add(dispatcher.stopCommand(placement))
        }
    }

    private fun ended(machine: Machine, placement: Placement, cause: Cause, now: Long) {
        val job = placement.job
        val done = cause == Cause.DONE && !job.spec.service
        if (cause != Cause.DONE && (cause != Cause.HALTED || placement.stopReason == null)) {
            log.info("task {} attempt {}: ended on {}: {}", placement.id, placement.attempt, machine.name, cause)
        }
        when (cause) {
            Cause.DONE -> {
                machine.failedJobs.clear()
                job.failures = 0
                machine.recordImage(job.spec.image, job.spec.imageGb)
                job.hasSucceeded = true
                job.failedOn.forEach { decommissionIfUnhealthy(it) }
            }

            Cause.ERROR -> if (countsAsFailure(placement)) {
                machine.failedJobs.add(job.spec.jobId)
                // Several tasks that fail together on one machine say no more of the job than one does: counted each,
                // they made a sick machine look like a job with a mistake, and the machine was kept.
                if (job.failedOn.add(machine)) job.failures++
                if (shardState.isSuspectedFaulty(job)) {
                    // It fails wherever it runs: the job has a mistake, and the machines have not.
                    job.failedOn.forEach { it.failedJobs.remove(job.spec.jobId) }
                    job.failedOn.clear()
                    job.notBefore = now + minOf(MAX_RETRY_MS, FIRST_RETRY_MS shl minOf(5, job.failures / 4))
                } else {
                    decommissionIfUnhealthy(machine)
                }
            }

            Cause.NO_ROOM, Cause.BUSY -> {
                job.notBefore = maxOf(job.notBefore, now + REFUSED_RETRY_MS)
            }

            Cause.UNKNOWN -> {
                job.notBefore = maxOf(job.notBefore, now + FIRST_RETRY_MS)
            }

            Cause.HALTED, Cause.PEERS, Cause.ALONE -> {}
        }
        if (job.spec.gang) gangs.onTaskEnded(placement, cause) else shardState.finish(placement, done)
    }

    /** Several tasks of a gang fail together where the gang has a mistake: that says no more than one failure does. */
    private fun countsAsFailure(placement: Placement): Boolean {
        val job = placement.job
        val first = !job.spec.gang || job.lastFailedAttempt != placement.attempt
        job.lastFailedAttempt = placement.attempt
        return first
    }

    /**
     * Tasks of several jobs failed there since the last success, and one of the jobs is known to run elsewhere. Without
     * that, a few jobs with a mistake that met on one machine had it returned.
     */
    private fun decommissionIfUnhealthy(machine: Machine) {
        if (machine.decommissionReason != null || machine.failedJobs.size < JOBS_FAILED_ON_UNHEALTHY_MACHINE) return
        val now = shardState.clock.now()
        val good = machine.failedJobs.any { jobId ->
            shardState.jobs[jobId]?.let { job ->
                job.hasSucceeded ||
                    job.placements().any { it.running && now - it.runningSince > PROVES_A_JOB_MS }
            } ==
                true
        }
        if (!good && machine.failedJobs.size < JOBS_FAILED_IN_ANY_CASE) return
        log.info("machine {}: unhealthy, every task fails there, decommissioned", machine.name)
        machine.decommissionReason = DecommissionReason.UNHEALTHY
    }

    /** A task on the machine that no placement accounts for. */
    private fun onUnknownTask(machine: Machine, reported: TaskStatus, commands: MutableList<WorkerCommand>) {
        val job = shardState.jobs[reported.id.jobId]
        if (reported.state == TaskState.ENDED) {
            // Once forgotten, the attempt would start again if its launch came late; and its result must be stored
            // first.
            val chunk = job?.takeIf { reported.id.task < it.spec.taskCount }?.chunkOf(reported.id.task)
            val stored = job == null || (!job.ending && chunk != null && chunk.stored)
            if (!stored) return
            if (machine.mayLaunch(
                    reported.id,
                    reported.attempt,
                )
            ) {
                raiseToken(machine)
            } else {
                commands.add(WorkerCommand.ForgetTask(reported.id, reported.attempt))
            }
            return
        }
        commands.add(WorkerCommand.StopTask(reported.id, reported.attempt, 0.0))
        if (job != null) {
            machine.unknownTaskCpus += job.spec.cpus
            machine.unknownTaskGpus += job.spec.gpus
            machine.unknownTaskMemoryGb += job.spec.memoryGb
        }
    }

    /**
     * Makes earlier direct calls to the worker void, so that their attempts can be forgotten.
     *
     * Calls that were carried out are repeated at times, minutes later: the copy of a launch starts its attempt anew
     * once it is forgotten, wherever the task then runs and even if its job was cancelled. A worker makes a report of a
     * new token no more than once in half a lease, and no call of ours must be on its way that the new token would
     * refuse.
     */
    private fun raiseToken(machine: Machine) {
        val now = shardState.clock.now()
        if (machine.directCalls > 0 || now - machine.raisedAt < shardState.settings.workers.leaseS * 500) return
        val next = shardState.tokenFor(machine) + 1
        if (next > FencingToken.last(shardState.token)) return
        machine.raisedTo = next
        machine.raisedAt = now
    }

    /** A stored placement that the newest report does not list. */
    private fun onMissingTask(
        machine: Machine,
        placement: Placement,
        status: WorkerStatus,
        isHeartbeat: Boolean,
        commands: MutableList<WorkerCommand>,
    ) {
        val mayLaunch = machine.mayLaunch(placement.id, placement.attempt)
        val sentBefore = placement.launchEpoch != 0L
        if (sentBefore && placement.launchEpoch < status.epoch && !mayLaunch) {
            // A later session: everything of the earlier one was killed, and its launches are refused.
            log.info("task {} attempt {}: lost with an epoch of {}", placement.id, placement.attempt, machine.name)
            if (placement.stopReason != null || !machine.usable || machine.noticeUntil != 0L ||
                placement.job.spec.gang
            ) {
                shardState.finish(placement, done = false)
                return
            }
            // The worker is back, and has the image. Placed anew, all tasks of a fleet waited for the store's limit and
            // for images after an outage that was longer than the fence.
            placement.job.recordLost(placement)
        }
        if (!isHeartbeat) return
        if (placement.stopReason == null) {
            // What runs is answered on through an outage, but nothing starts: its user may have been told that it is
            // cancelled.
            if (shardState.isCurrent() && gangs.mayLaunch(placement)) launch(placement, status.sequence, commands)
            return
        }
        if (mayLaunch && machine.directCalls > 0) return
        if (mayLaunch) {
            // A direct launch, or a copy of it, may still come. Launched and stopped here, the attempt is known to the
            // worker as ended, and the late launch has no effect.
            launch(placement, status.sequence, commands)
            commands.add(dispatcher.stopCommand(placement))
        } else if (!sentBefore || status.sequence > placement.answeredSequence) {
            shardState.finish(placement, done = false)
        }
    }

    private fun launch(placement: Placement, sequence: Long, commands: MutableList<WorkerCommand>) {
        placement.launchEpoch = placement.machine.epoch
        placement.answeredSequence = sequence
        placement.launchesAnswered++
        commands.add(WorkerCommand.StartTask(placement.id, placement.attempt))
    }

    private companion object {
        const val MOST_OF_LEASE = 0.8
        const val FIRST_RETRY_MS = 2_000L
        const val MAX_RETRY_MS = 30_000L
        const val REFUSED_RETRY_MS = 500L
        const val JOBS_FAILED_ON_UNHEALTHY_MACHINE = 2
        const val JOBS_FAILED_IN_ANY_CASE = 4
        const val PROVES_A_JOB_MS = 10_000L
    }
}
