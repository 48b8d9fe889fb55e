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
 * Stops work for requests that cannot be placed otherwise, one machine at a time and never twice for the same request.
 */
internal class Preemptor(
    private val shardState: ShardState,
    private val dispatcher: CommandDispatcher,
    private val demandEstimator: DemandEstimator,
    private val reservations: GangReservations,
    private val candidates: PreemptionCandidates,
) {
    private val log = LoggerFactory.getLogger("shard")

    /** How many tasks of a gang a machine has capacity for once [toStop] has ended. */
    private class GangPreemption(val taskCount: Int, val toStop: List<Placement>)

    /** Stops work for those of [readyJobs] that have waited for long enough and may preempt, in their order. */
    fun preempt(readyJobs: List<Job>, pass: SchedulingPass) {
        val machines = candidates.machines()
        if (machines.isEmpty()) return
        val comingCapacity = demandEstimator.bootingCapacity()
        // Lazily: what is stopped for one job counts for the next.
        readyJobs.asSequence()
            .filter { needsPreemption(it, pass.nowMs, comingCapacity) }
            .take(MAX_JOBS_PER_PASS)
            .forEach { preemptFor(it, machines, pass.wallMs) }
    }

    private fun needsPreemption(job: Job, nowMs: Long, comingCapacity: List<FreeCapacity>): Boolean {
        if (!job.spec.priority.isFunded || !hasUnservedTasks(job)) return false
        if (nowMs - job.waitingSince < preemptAfterMs(job)) return false
        // What only has to be done some time fits on the machines that are on their way; what has to start soon does
        // not.
        return shardState.urgency.isLatencySensitive(job) || !demandEstimator.fitsOnBootingMachines(job, comingCapacity)
    }

    /** Whether tasks that the team's limit allows wait, beyond those for which work is being stopped already. */
    private fun hasUnservedTasks(job: Job): Boolean =
        job.pendingCount > job.pendingPreemptions && shardState.quota.remainingTasks(job) > job.pendingPreemptions

    /**
     * What fits a little later without stopping anything needs no preemption: tasks end all the time, and each task
     * that is stopped loses what it has done. A day of arrays that were stopped at once for services stopped a fifth of
     * all tasks.
     */
    private fun preemptAfterMs(job: Job): Long {
        val heartbeatIntervalMs = shardState.settings.workers.reportS * MS_PER_SECOND
        return when {
            job.spec.isGang -> GANG_WAIT_MS
            shardState.urgency.isLatencySensitive(job) -> heartbeatIntervalMs.toLong()
            else -> (heartbeatIntervalMs * ARRAY_WAIT_HEARTBEATS).toLong()
        }
    }

    private fun preemptFor(job: Job, machines: List<Machine>, wallMs: Long) {
        val request = PreemptionRequest(
            job.spec.priority,
            shardState.quota.isWithinGuarantee(job.team, job.spec),
            shardState.fairShare.usageRatio(job.team, wallMs),
        )
        val preempting = PreemptingJob(job, request, wallMs)
        if (job.spec.isGang) preemptForGang(preempting) else preemptForTasks(preempting, machines)
    }

    private fun preemptForTasks(preempting: PreemptingJob, machines: List<Machine>) {
        val job = preempting.job
        machines.asSequence()
            .takeWhile { job.pendingCount > job.pendingPreemptions }
            .filter { mayRunOn(job, it) && !isStoppingWork(it) }
            .forEach { machine ->
                val toStop = placementsToStop(preempting, machine, taskCount = 1).orEmpty()
                toStop.forEach { stop(it, job) }
            }
    }

    private fun mayRunOn(job: Job, machine: Machine): Boolean =
        satisfiesZoneRules(job, machine.record.zone) && isEligible(job.spec, machine.record)

    private fun isStoppingWork(machine: Machine): Boolean = machine.placements.values.any { it.stopReason != null }

    /** Stops work on the machines that are reserved for the gang, if all of it fits there then. */
    private fun preemptForGang(preempting: PreemptingJob) {
        val job = preempting.job
        if (job.pendingPreemptions > 0 || !shardState.allowsWholeGang(job)) return
        val toStop = ArrayList<Placement>()
        var remainingTasks = job.spec.taskCount
        for (machine in reservations.machinesReservedFor(job).filter { it.usable && !isStoppingWork(it) }) {
            if (remainingTasks <= 0) break
            val largest = largestGangPreemption(preempting, machine, remainingTasks)
            toStop.addAll(largest.toStop)
            remainingTasks -= largest.taskCount
        }
        if (remainingTasks <= 0) toStop.forEach { stop(it, job) }
    }

    /** The most tasks of the gang, up to [maxTasks], for which work on the machine may be stopped. */
    private fun largestGangPreemption(preempting: PreemptingJob, machine: Machine, maxTasks: Int): GangPreemption {
        val fittingNow = minOf(maxTasks, tasksThatFit(preempting.job.spec, machine))
        var largest = GangPreemption(fittingNow, emptyList())
        while (largest.taskCount < maxTasks) {
            val taskCount = largest.taskCount + 1
            val toStop = placementsToStop(preempting, machine, taskCount) ?: break
            largest = GangPreemption(taskCount, toStop)
        }
        return largest
    }

    /**
     * What must be stopped so that [taskCount] tasks of the job fit on the machine; null if that is not allowed or not
     * needed.
     */
    private fun placementsToStop(preempting: PreemptingJob, machine: Machine, taskCount: Int): List<Placement>? =
        selectForPreemption(preempting.job.spec, taskCount, machine, candidates.on(machine, preempting))

    private fun stop(placement: Placement, job: Job) {
        log.info("task {}: preempted for job {} on {}", placement.id, job.spec.jobId, placement.machine.name)
        dispatcher.stop(placement, StopReason.PREEMPTED)
        job.pendingPreemptions++
        shardState.preemptedFor[placement] = job
    }

    private companion object {
        /** Jobs for which work is stopped in one pass. */
        const val MAX_JOBS_PER_PASS = 50

        /** What ends by itself seldom makes enough capacity free for all of a gang. */
        const val GANG_WAIT_MS = 1_000L
        const val ARRAY_WAIT_HEARTBEATS = 4
        const val MS_PER_SECOND = 1000
    }
}
