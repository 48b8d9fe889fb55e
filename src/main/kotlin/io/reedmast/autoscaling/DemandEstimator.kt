package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState

/** What a shard needs beyond the machines that it has. */
class DemandEstimator(private val shardState: ShardState, private val arrivals: ArrivalRates) {
    /**
     * The free capacity of machines that have not come up yet, or have not sent us a heartbeat yet since we acquired
     * the shard.
     *
     * A machine that was up before and sends no heartbeats is more likely dead than booting: its capacity must not
     * hide demand.
     */
    fun bootingCapacity(): List<FreeCapacity> {
        val justAcquired = shardState.clock.now() - shardState.activeAt <
            shardState.settings.workers.heartbeatIntervalS * MS_PER_S * HEARTBEATS_TO_SHOW_UP
        return shardState.machines.values
            .filter { isExpected(it, justAcquired) }
            .map { FreeCapacity(it.record, it.freeCpus, it.freeGpus, it.freeMemoryGb) }
    }

    private fun isExpected(machine: Machine, justAcquired: Boolean): Boolean {
        if (machine.isStateKnown || machine.decommissionReason != null || machine.machineType == null) return false
        return justAcquired || !machine.everReported
    }

    /** Whether the machines of [bootingCapacity] hold all that [job] may still start. Allocates it to them. */
    fun fitsOnBootingMachines(job: Job, bootingCapacity: List<FreeCapacity>): Boolean {
        val startableTasks = minOf(job.pendingCount, shardState.quota.remainingTasks(job))
        return allocateAndCountRemaining(job.spec, startableTasks, bootingCapacity) == 0
    }

    /** The jobs of which nothing has run for long, those that have waited longest first; [now] is in milliseconds. */
    fun starving(now: Long): List<Starving> {
        val zones = DemandZones(shardState)
        return shardState.jobs.values
            .filter { shardState.urgency.isNearlyStarving(it) && !it.isFinalRecordInFlight && mayStart(it) }
            .sortedBy { shardState.urgency.starvingSince(it) }
            .take(MAX_STARVING)
            .map {
                Starving(
                    Demand.of(it.spec, pastDeadline = true, tasksStartedTogether(it.spec), zones.onlyZoneFor(it)),
                    waitedS = (now - shardState.urgency.starvingSince(it)) / MS_PER_S,
                )
            }
    }

    private fun mayStart(job: Job): Boolean = shardState.quota.remainingTasks(job) >= tasksStartedTogether(job.spec)

    /** The demand of all jobs that wait, added up by kind; the kinds of the most urgent jobs come first. */
    fun demand(): List<Demand> = DemandCalculation(shardState, arrivals, bootingCapacity()).demand()

    private companion object {
        const val HEARTBEATS_TO_SHOW_UP = 2
        const val MAX_STARVING = 3
    }
}
