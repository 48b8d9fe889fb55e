package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.ShardState

/**
 * One calculation of a shard's demand. Jobs are counted one after another, the most urgent first. What a job uses of
 * [bootingCapacity], of its team's quota and of the throughput is not available to the jobs after it.
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

    /** The demand of all waiting jobs, added up by kind. Must be called only once. */
    fun demand(): List<Demand> {
        val demandByKind = LinkedHashMap<DemandKind, Demand>()
        for (job in waitingJobs()) {
            demandOf(job).forEach { demandByKind.merge(it.kind, it, Demand::plus) }
        }
        return demandByKind.values.toList()
    }

    private fun waitingJobs(): List<Job> = shardState.jobs.values
        .filter { it.pendingCount > 0 && !it.isFinalRecordInFlight && !isRetryPending(it) }
        .sortedWith(
            compareBy(
                { shardState.urgency.isSuspectedFaulty(it) },
                { !it.spec.isService },
                { it.spec.priority },
                { shardState.urgency.deadlineMs(it) },
            ),
        )

    /** Whether a job that seems faulty is not to be tried again yet, or may still find a machine that the shard has. */
    private fun isRetryPending(job: Job): Boolean = shardState.urgency.isSuspectedFaulty(job) &&
        shardState.clock.now() < job.placementNotBefore + RETRY_ON_PRESENT_MACHINES_MS

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

    /** How many tasks of the job may start within its team's quota limits; 0 if these are too few for it to start. */
    private fun startableTasks(job: Job): Int {
        val tasks = minOf(job.pendingCount, shardState.quota.remainingTasks(job))
        if (tasks < minTasksToStart(job.spec)) return 0
        return cpuQuota.allocate(job, tasks)
    }

    /**
     * How many of the [startable] tasks need new machines, given the capacity of the booting ones. A job that seems
     * faulty gets machines for one try: it is not at fault if unhealthy machines have failed its tasks.
     */
    private fun tasksToProvision(job: Job, startable: Int, allowedZones: Set<String>?): Int {
        val wanted = if (shardState.urgency.isSuspectedFaulty(job)) minTasksToStart(job.spec) else startable
        val withoutCapacity = allocateAndCountRemaining(job.spec, wanted, bootingCapacityIn(allowedZones))
        val isLimitedByDeadline = isArray(job.spec) && !shardState.urgency.isSuspectedFaulty(job)
        return if (isLimitedByDeadline) tasksToMeetDeadline(job, withoutCapacity) else withoutCapacity
    }

    private fun bootingCapacityIn(allowedZones: Set<String>?): List<FreeCapacity> {
        if (allowedZones == null) return bootingCapacity
        return bootingCapacity.filter { it.record.zone in allowedZones }
    }

    /**
     * How many tasks of an array job need new machines for it to meet its deadline: at most [withoutCapacity], and at
     * least one of these if the job is starving.
     *
     * The throughput counts all of the shard's capacity as capacity for the job. If the job cannot use it, for example
     * because it is in another zone, the job would otherwise wait forever.
     */
    private fun tasksToMeetDeadline(job: Job, withoutCapacity: Int): Int {
        val forDeadline = throughput.tasksToProvisionFor(job, withoutCapacity, wallMs)
        val forStarving = if (shardState.urgency.isStarving(job)) 1 else 0
        return minOf(withoutCapacity, maxOf(forDeadline, forStarving))
    }

    /**
     * The demand of a gang that must be spread. It needs capacity in several zones at once, with at most half of its
     * tasks (rounded up) in each; machines in one zone alone would stay empty and be returned.
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

    private companion object {
        /** How long a due retry may wait for a scheduling pass before a machine is rented for it. */
        const val RETRY_ON_PRESENT_MACHINES_MS = 1_000L
    }
}
