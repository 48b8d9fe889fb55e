package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.settings.TeamId

/**
 * What is left of the teams' CPU quota limits while the demand of one job after another is counted against them. One
 * instance serves one calculation of the demand.
 */
internal class RemainingCpuQuota(private val shardState: ShardState) {
    private val remainingCpus = HashMap<TeamId, Double>()

    /**
     * Takes as many of [tasks] from the quota of the job's team as it allows, and returns how many: 0, with nothing
     * taken, if that is less than the job needs to start.
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
