package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import kotlin.math.ceil

/**
 * How fast a shard works off its array tasks, and how many CPUs it lacks to meet their deadlines. One instance serves
 * one calculation of the demand, to which jobs are added with the most urgent first.
 *
 * Run times are the job owners' estimates. Work that the present machines finish by its deadline needs no more of them,
 * and no new machine is up in time for what is due before it has booted.
 */
internal class ArrayThroughput(
    private val shardState: ShardState,
    arrivals: ArrivalRates,
    bootingCapacity: List<FreeCapacity>,
) {
    private val bootS = shardState.shortestBootS() ?: 0.0

    /** CPUs that run array tasks or could: those of present machines, of booting ones, and of tasks added so far. */
    private var cpus = 0.0

    /** Work of running tasks and of the jobs added so far, in CPU seconds. */
    private var queuedCpuSeconds = 0.0

    /**
     * CPUs that it takes to keep up with new arrays. Machines for a burst would come too late if its work were waited
     * for: more of it arrives while they boot.
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
     * be provisioned; [wallMs] is the wall clock's time.
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
        /** By how much run times may exceed their estimates. */
        const val ESTIMATE_SLACK = 1.5

        /** How much of its run time a running task still has to go, on average. */
        const val MEAN_REMAINING_FRACTION = 0.5
    }
}
