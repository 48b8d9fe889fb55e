package io.reedmast.model

import io.reedmast.settings.Settings
import io.reedmast.settings.TeamId
import io.reedmast.wire.JobSpec

/**
 * Resources that the placements of each team use, compared with the team's guaranteed quota and its limit.
 *
 * Every placement counts from the moment when it is decided until there is evidence that its attempt is over: a task
 * that may still run must count, or the next placement could exceed the team's limit (PROTOCOL, Rules, `quota`).
 */
class TeamQuota(private val settings: Settings) {
    private val usedCpus = DoubleArray(settings.teams.size)
    private val usedGpus = DoubleArray(settings.teams.size)

    /** Counts a placement of the job. */
    fun add(job: Job) = count(job, +1)

    /** Stops counting a placement of the job. */
    fun remove(job: Job) = count(job, -1)

    private fun count(job: Job, sign: Int) {
        usedCpus[job.team.value] += sign * job.spec.cpus
        usedGpus[job.team.value] += sign * job.spec.gpus
    }

    /** The CPUs that the team's placements use. */
    fun usedCpus(team: TeamId): Double = usedCpus[team.value]

    /** Whether the team stays within its guaranteed quota with [taskCount] more tasks of this spec. */
    fun isWithinGuarantee(team: TeamId, spec: JobSpec, taskCount: Int = 1): Boolean {
        val share = settings.teams[team.value]
        val cpus = usedCpus[team.value] + spec.cpus * taskCount
        val gpus = usedGpus[team.value] + spec.gpus * taskCount
        return cpus <= share.cpus + Machine.EPSILON && (spec.gpus == 0.0 || gpus <= share.gpus + Machine.EPSILON)
    }

    /** Whether the team's placements use more CPUs than its guaranteed quota. */
    fun exceedsGuarantee(team: TeamId): Boolean =
        usedCpus[team.value] > settings.teams[team.value].cpus + Machine.EPSILON

    /** How many more tasks of the job the team's limit allows. */
    fun remainingTasks(job: Job): Int {
        val team = job.team.value
        val share = settings.teams[team]
        val byCpus = remainingTasks(share.maxCpus, usedCpus[team], job.spec.cpus)
        val byGpus = remainingTasks(share.maxGpus, usedGpus[team], job.spec.gpus)
        return maxOf(0, minOf(byCpus, byGpus))
    }

    /** A [limit] of 0 means that there is none. */
    private fun remainingTasks(limit: Double, used: Double, perTask: Double): Int =
        if (limit > 0 && perTask > 0) ((limit - used + Machine.EPSILON) / perTask).toInt() else Int.MAX_VALUE
}
