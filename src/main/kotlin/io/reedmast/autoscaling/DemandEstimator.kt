package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** Estimates the capacity that a shard needs in addition to the machines that it has. */
class DemandEstimator(private val shardState: ShardState, private val arrivals: ArrivalRates) {
    /**
     * The free capacity of machines that have not come up yet and, for the first two heartbeat intervals after this
     * controller acquired the shard, of machines that have not yet sent it a heartbeat.
     *
     * After that, a machine that was up before and sends no heartbeats is more likely dead than booting, and its
     * capacity must not hide demand.
     */
    fun bootingCapacity(): List<FreeCapacity> {
        val justAcquired = shardState.clock.now() - shardState.activeAt <
            shardState.settings.workers.heartbeatIntervalS * MS_PER_S * FIRST_HEARTBEAT_INTERVALS
        return shardState.machines.values
            .filter { isExpected(it, justAcquired) }
            .map { FreeCapacity(it.record, it.freeCpus, it.freeGpus, it.freeMemoryGb) }
    }

    private fun isExpected(machine: Machine, justAcquired: Boolean): Boolean {
        if (machine.isStateKnown || machine.decommissionReason != null || machine.machineType == null) return false
        return justAcquired || !machine.everReported
    }

    /** Whether all tasks that [job] may still start fit in [bootingCapacity]. Allocates there those that fit. */
    fun fitsOnBootingMachines(job: Job, bootingCapacity: List<FreeCapacity>): Boolean {
        val startableTasks = minOf(job.pendingCount, shardState.quota.remainingTasks(job))
        return allocateAndCountRemaining(job.spec, startableTasks, bootingCapacity) == 0
    }

    /**
     * Jobs that are nearly starving although their teams' quota limits would let them start, those that have waited
     * longest first, at most [MAX_STARVING_JOBS]; [now] is in milliseconds.
     */
    fun starvingJobs(now: Long): List<StarvingJob> {
        val zones = DemandZones(shardState)
        return shardState.jobs.values
            .filter { shardState.urgency.isNearlyStarving(it) && !it.isFinalRecordInFlight && mayStart(it) }
            .sortedBy { shardState.urgency.starvingSince(it) }
            .take(MAX_STARVING_JOBS)
            .map {
                StarvingJob(
                    Demand.of(it.spec, pastDeadline = true, minTasksToStart(it.spec), zones.onlyZoneFor(it)),
                    waitedS = (now - shardState.urgency.starvingSince(it)) / MS_PER_S,
                )
            }
    }

    private fun mayStart(job: Job): Boolean = shardState.quota.remainingTasks(job) >= minTasksToStart(job.spec)

    /** The demand of all waiting jobs, added up by kind; the kinds of the most urgent jobs come first. */
    fun demand(): List<Demand> = DemandCalculation(shardState, arrivals, bootingCapacity()).demand()

    private companion object {
        const val FIRST_HEARTBEAT_INTERVALS = 2
        const val MAX_STARVING_JOBS = 3
    }
}
