package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import kotlin.math.ceil

/**
 * How fast a shard processes its array tasks, and how many CPUs it lacks to meet their deadlines. One instance serves
 * one calculation of the demand, to which jobs are added with the most urgent first.
 *
 * Run times are the job owners' estimates. Work that the present machines finish by its deadline needs no new machines.
 * No new machine is up in time for work that is due before it has booted, so the time available for work is taken to be
 * at least the boot time.
 */
internal class ArrayThroughput(
    private val shardState: ShardState,
    arrivals: ArrivalRates,
    bootingCapacity: List<FreeCapacity>,
) {
    private val bootS = shardState.shortestBootS() ?: 0.0

    /** CPUs that run array tasks or are free to: on present and booting machines, and for the tasks added so far. */
    private var cpus = 0.0

    /** Remaining work of running tasks, and work of the jobs added so far, in CPU seconds. */
    private var queuedCpuSeconds = 0.0

    /**
     * CPUs needed to keep up with new arrays. Machines for a burst would be up too late if they were rented only for
     * work that is already queued, since more of it arrives while they boot.
     */
    private val cpusForArrivals = arrivals.arrayCpuSecondsPerS()

    init {
        for (machine in shardState.machines.values) if (machine.usable) cpus += machine.freeCpus
        cpus += bootingCapacity.sumOf { it.freeCpus }
        for (job in shardState.jobs.values) if (isArray(job.spec)) addRunningTasks(job)
    }

    private fun addRunningTasks(job: Job) {
        val runningCpus = job.placedCount * job.spec.cpus
        cpus += runningCpus
        queuedCpuSeconds += runningCpus * job.spec.estimateS * MEAN_REMAINING_FRACTION
    }

    /**
     * Adds the pending tasks of [job] to the work, and returns for how many of them, at most [maxTasks], machines must
     * be provisioned; [wallMs] is the wall-clock time.
     */
    fun tasksToProvisionFor(job: Job, maxTasks: Int, wallMs: Long): Int {
        val spec = job.spec
        queuedCpuSeconds += job.pendingCount * spec.cpus * spec.estimateS
        val latestStartInS = (shardState.urgency.deadlineMs(job) - wallMs) / MS_PER_S - spec.estimateS
        val availableS = maxOf(latestStartInS, bootS)
        val lackingCpus = maxOf(queuedCpuSeconds * ESTIMATE_SLACK / availableS, cpusForArrivals) - cpus
        if (lackingCpus <= 0.0) return 0
        val tasks = minOf(maxTasks, ceil(lackingCpus / maxOf(spec.cpus, Machine.EPSILON)).toInt())
        cpus += tasks * spec.cpus
        return tasks
    }

    private companion object {
        /** The factor by which run times may exceed their estimates. */
        const val ESTIMATE_SLACK = 1.5

        /** The fraction of its run time that a running task has left, on average. */
        const val MEAN_REMAINING_FRACTION = 0.5
    }
}
