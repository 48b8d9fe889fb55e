package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.ShardState

/**
 * One calculation of a shard's demand. Jobs are counted one after another, the most urgent first; each takes from
 * [bootingCapacity], from its team's quota and from the throughput what the next ones then lack.
 */
internal class DemandCalculation(
    private val shardState: ShardState,
    arrivals: ArrivalRates,
    private val bootingCapacity: List<FreeCapacity>,
) {
    private val cpuQuota = RemainingCpuQuota(shardState)
    private val throughput = ArrayThroughput(shardState, arrivals, bootingCapacity)
    private val wallMs = shardState.clock.wallTime()
    private val zones = DemandZones(shardState)

    /** The demand of all jobs that wait, added up by kind. To be called once. */
    fun demand(): List<Demand> {
        val demandByKind = LinkedHashMap<DemandKind, Demand>()
        for (job in waitingJobs()) {
            demandOf(job).forEach { demandByKind.merge(it.kind, it, Demand::plus) }
        }
        return demandByKind.values.toList()
    }

    private fun waitingJobs(): List<Job> = shardState.jobs.values
        .filter { it.pendingCount > 0 && !it.isFinalRecordInFlight && !shardState.urgency.isSuspectedFaulty(it) }
        .sortedWith(compareBy({ !it.spec.isService }, { it.spec.priority }, { shardState.urgency.deadlineMs(it) }))

    private fun demandOf(job: Job): List<Demand> {
        val startable = startableTasks(job)
        if (startable == 0) return emptyList()
        val allowedZones = zones.allowedZonesFor(job)
        val tasks = tasksToProvision(job, startable, allowedZones)
        return when {
            tasks <= 0 || allowedZones?.isEmpty() == true -> emptyList()
            job.spec.isGang && job.spec.spread -> demandOfSpreadGang(job)
            else -> listOf(demandFor(job, tasks, zones.zoneToRequest(job, allowedZones)))
        }
    }

    /** How many tasks of the job its team's quota limits let start; 0 if that is less than it needs to start. */
    private fun startableTasks(job: Job): Int {
        val tasks = minOf(job.pendingCount, shardState.quota.remainingTasks(job))
        if (tasks < minTasksToStart(job.spec)) return 0
        return cpuQuota.allocate(job, tasks)
    }

    /** For how many of [startable] tasks machines must be provisioned, with the booting ones taken into account. */
    private fun tasksToProvision(job: Job, startable: Int, allowedZones: Set<String>?): Int {
        val withoutCapacity = allocateAndCountRemaining(job.spec, startable, bootingCapacityIn(allowedZones))
        return if (isArray(job.spec)) tasksToMeetDeadline(job, withoutCapacity) else withoutCapacity
    }

    private fun bootingCapacityIn(allowedZones: Set<String>?): List<FreeCapacity> {
        if (allowedZones == null) return bootingCapacity
        return bootingCapacity.filter { it.record.zone in allowedZones }
    }

    /**
     * For how many tasks of an array job machines must be provisioned to meet its deadline: at least one if it is
     * starving.
     *
     * The throughput takes any capacity of the shard for capacity of the job. Where it is in another zone, say, the job
     * would wait for ever.
     */
    private fun tasksToMeetDeadline(job: Job, withoutCapacity: Int): Int {
        val forDeadline = throughput.tasksToProvisionFor(job, withoutCapacity, wallMs)
        val forStarving = if (shardState.urgency.isStarving(job)) 1 else 0
        return minOf(withoutCapacity, maxOf(forDeadline, forStarving))
    }

    /**
     * A gang that is to be spread needs capacity in several zones at once, at most half of it in each: machines in one
     * zone alone would stay empty and be returned.
     */
    private fun demandOfSpreadGang(job: Job): List<Demand> {
        val maxInOneZone = (job.spec.taskCount + 1) / 2
        var remaining = job.spec.taskCount
        val demands = ArrayList<Demand>()
        for (zone in zones.byFreeCpus()) {
            if (remaining <= 0) break
            val tasks = minOf(remaining, maxInOneZone)
            demands.add(demandFor(job, tasks, zone))
            remaining -= tasks
        }
        return demands
    }

    private fun demandFor(job: Job, tasks: Int, zone: String?): Demand =
        Demand.of(job.spec, shardState.urgency.isPastDeadline(job), tasks, zone)
}
