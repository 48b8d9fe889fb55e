package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.settings.TeamId

/**
 * The CPUs that remain within the teams' quota limits while the demand of one job after another is counted against
 * them. One instance serves one calculation of the demand.
 */
internal class RemainingCpuQuota(private val shardState: ShardState) {
    private val remainingCpus = HashMap<TeamId, Double>()

    /**
     * Allocates the quota of the job's team to as many of [tasks] as it allows, and returns how many. If they are too
     * few for the job to start, allocates nothing and returns 0.
     */
    fun allocate(job: Job, tasks: Int): Int {
        if (!isLimited(job)) return tasks
        val remaining = remainingCpus.getOrPut(job.team) { limitCpus(job) - shardState.quota.usedCpus(job.team) }
        val allowed = minOf(tasks, (remaining / job.spec.cpus + Machine.EPSILON).toInt())
        if (allowed < minTasksToStart(job.spec)) return 0
        remainingCpus[job.team] = remaining - allowed * job.spec.cpus
        return allowed
    }

    private fun isLimited(job: Job): Boolean = limitCpus(job) > 0 && job.spec.cpus > 0

    private fun limitCpus(job: Job): Double = shardState.settings.teams[job.team.value].maxCpus
}
