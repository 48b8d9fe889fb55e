package io.reedmast.scheduling

import io.reedmast.autoscaling.DemandEstimator
import io.reedmast.autoscaling.FreeCapacity
import io.reedmast.commands.CommandDispatcher
import io.reedmast.fairshare.PreemptionRequest
import io.reedmast.gangs.GangReservations
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.placement.isEligible
import io.reedmast.placement.satisfiesZoneRules
import io.reedmast.placement.tasksThatFit
import org.slf4j.LoggerFactory

/**
 * Stops running work for requests that cannot be placed otherwise, one machine at a time and never twice for the same
 * request.
 */
internal class Preemptor(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    private val demandEstimator: DemandEstimator,
    private val reservations: GangReservations,
    private val candidates: PreemptionCandidates,
) {
    private val log = LoggerFactory.getLogger("shard")

    /** How many tasks of a gang fit on a machine once the placements [toStop] have ended. */
    private class GangPreemption(val taskCount: Int, val toStop: List<Placement>)

    /** Stops work for those of [readyJobs], in order, that have waited long enough and may preempt other work. */
    fun preempt(readyJobs: List<Job>, pass: SchedulingPass) {
        val machines = candidates.machinesWithCandidates()
        if (machines.isEmpty()) return
        val bootingCapacity = demandEstimator.bootingCapacity()
        // Evaluated lazily, so that what is stopped for one job is taken into account for the next.
        readyJobs.asSequence()
            .filter { needsPreemption(it, pass.nowMs, bootingCapacity) }
            .take(MAX_JOBS_PER_PASS)
            .forEach { preemptFor(it, machines, pass.wallMs) }
    }

    private fun needsPreemption(job: Job, nowMs: Long, bootingCapacity: List<FreeCapacity>): Boolean {
        if (!job.spec.priority.isFunded || !hasTasksToPreemptFor(job)) return false
        if (!shardState.placementLimits.allows(job)) return false
        if (nowMs - job.waitingSince < preemptionDelayMs(job)) return false
        // A job that is not latency-sensitive can wait for the booting machines if it fits there; a latency-sensitive
        // one has to start sooner.
        return shardState.urgency.isLatencySensitive(job) ||
            !demandEstimator.fitsOnBootingMachines(job, bootingCapacity)
    }

    /** Whether tasks wait, within the team's limit, beyond those for which work is already being stopped. */
    private fun hasTasksToPreemptFor(job: Job): Boolean =
        job.pendingCount > job.pendingPreemptions && shardState.quota.remainingTasks(job) > job.pendingPreemptions

    /**
     * How long a job must have waited before other work is stopped for it.
     *
     * A job that would fit a little later anyway needs no preemption: tasks end all the time, and each task that is
     * stopped loses the work it has done.
     */
    private fun preemptionDelayMs(job: Job): Long {
        val heartbeatIntervalMs = shardState.settings.workers.heartbeatIntervalS * MS_PER_SECOND
        return when {
            job.spec.isGang -> GANG_PREEMPTION_DELAY_MS
            shardState.urgency.isLatencySensitive(job) -> heartbeatIntervalMs.toLong()
            else -> (heartbeatIntervalMs * ARRAY_PREEMPTION_DELAY_HEARTBEATS).toLong()
        }
    }

    private fun preemptFor(job: Job, machines: List<Machine>, wallMs: Long) {
        val request = PreemptionRequest(
            job.spec.priority,
            shardState.quota.isWithinGuarantee(job.team, job.spec),
            shardState.fairShare.usageRatio(job.team, wallMs),
        )
        val preemptingJob = PreemptingJob(job, request, wallMs)
        if (job.spec.isGang) preemptForGang(preemptingJob) else preemptForTasks(preemptingJob, machines)
    }

    private fun preemptForTasks(preemptingJob: PreemptingJob, machines: List<Machine>) {
        val job = preemptingJob.job
        machines.asSequence()
            .takeWhile { job.pendingCount > job.pendingPreemptions }
            .filter { mayRunOn(job, it) && !isStoppingWork(it) }
            .forEach { machine ->
                val toStop = placementsToStop(preemptingJob, machine, taskCount = 1).orEmpty()
                toStop.forEach { stop(it, job) }
            }
    }

    private fun mayRunOn(job: Job, machine: Machine): Boolean =
        satisfiesZoneRules(job, machine.record.zone) && isEligible(job.spec, machine.record)

    private fun isStoppingWork(machine: Machine): Boolean = machine.placements.values.any { it.stopReason != null }

    /** Stops work on the machines that are reserved for the gang, if the whole gang fits there afterwards. */
    private fun preemptForGang(preemptingJob: PreemptingJob) {
        val job = preemptingJob.job
        if (job.pendingPreemptions > 0 || !shardState.allowsWholeGang(job)) return
        val toStop = ArrayList<Placement>()
        var remainingTasks = job.spec.taskCount
        for (machine in reservations.machinesReservedFor(job).filter { it.usable && !isStoppingWork(it) }) {
            if (remainingTasks <= 0) break
            val largest = largestGangPreemption(preemptingJob, machine, remainingTasks)
            toStop.addAll(largest.toStop)
            remainingTasks -= largest.taskCount
        }
        if (remainingTasks <= 0) toStop.forEach { stop(it, job) }
    }

    /** The preemption after which the most tasks of the gang, up to [maxTasks], fit on the machine. */
    private fun largestGangPreemption(preemptingJob: PreemptingJob, machine: Machine, maxTasks: Int): GangPreemption {
        val fittingNow = minOf(maxTasks, tasksThatFit(preemptingJob.job.spec, machine))
        var largest = GangPreemption(fittingNow, emptyList())
        while (largest.taskCount < maxTasks) {
            val taskCount = largest.taskCount + 1
            val toStop = placementsToStop(preemptingJob, machine, taskCount) ?: break
            largest = GangPreemption(taskCount, toStop)
        }
        return largest
    }

    /**
     * The placements to stop so that [taskCount] tasks of the job fit on the machine; null if stopping enough of them
     * is not allowed, or not needed.
     */
    private fun placementsToStop(preemptingJob: PreemptingJob, machine: Machine, taskCount: Int): List<Placement>? =
        selectForPreemption(preemptingJob.job.spec, taskCount, machine, candidates.on(machine, preemptingJob))

    private fun stop(placement: Placement, job: Job) {
        log.info("task {}: preempted for job {} on {}", placement.id, job.spec.jobId, placement.machine.name)
        dispatcher.stop(placement, StopReason.PREEMPTED)
        job.pendingPreemptions++
        shardState.preemptedFor[placement] = job
    }

    private companion object {
        /** The maximum number of jobs for which work is stopped in one pass. */
        const val MAX_JOBS_PER_PASS = 50

        /** Short, because tasks that end by themselves seldom free enough capacity for a whole gang. */
        const val GANG_PREEMPTION_DELAY_MS = 1_000L
        const val ARRAY_PREEMPTION_DELAY_HEARTBEATS = 4
        const val MS_PER_SECOND = 1000
    }
}
