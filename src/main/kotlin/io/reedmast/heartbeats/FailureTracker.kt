package io.reedmast.heartbeats

import io.reedmast.model.DecommissionReason
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/**
 * Distinguishes faulty jobs from unhealthy machines by where tasks fail: a faulty job fails wherever it runs, and on an
 * unhealthy machine several jobs fail.
 */
internal class FailureTracker(private val shardState: ShardState) {
    private val log = LoggerFactory.getLogger("shard")

    /**
     * Called when a task has completed. This shows that neither its machine nor its job is at fault, and that the
     * machines on which the job failed may be.
     */
    fun recordSuccess(placement: Placement, now: Long) {
        val job = placement.job
        placement.machine.failedJobs.clear()
        job.consecutiveFailures = 0
        job.hasSucceeded = true
        job.failedOn.forEach { decommissionIfUnhealthy(it, now) }
    }

    /**
     * Called when a task has failed on its own: delays its job if the job seems faulty; otherwise decommissions the
     * machine if the machine seems unhealthy.
     */
    fun recordFailure(placement: Placement, now: Long) {
        if (!countsAsFailure(placement)) return
        val job = placement.job
        val machine = placement.machine
        machine.failedJobs.add(job.spec.jobId)
        // Several tasks of a job that fail together on one machine say no more about the job than one failure does.
        // If each counted, an unhealthy machine would make the job look faulty, and would be kept.
        if (job.failedOn.add(machine)) job.consecutiveFailures++
        if (shardState.urgency.isSuspectedFaulty(job)) {
            delayFaultyJob(job, now)
        } else {
            decommissionIfUnhealthy(machine, now)
        }
    }

    /**
     * Whether the failure is counted. For a gang, only the first failure of an attempt is: the tasks of a faulty gang
     * fail together, which says no more than one failure does.
     */
    private fun countsAsFailure(placement: Placement): Boolean {
        val job = placement.job
        val isFirstOfAttempt = !job.spec.isGang || job.lastFailedAttempt != placement.attempt
        job.lastFailedAttempt = placement.attempt
        return isFirstOfAttempt
    }

    /**
     * Delays a job that fails wherever it runs. The fault is the job's, so its failures no longer count against the
     * machines.
     */
    private fun delayFaultyJob(job: Job, now: Long) {
        job.failedOn.forEach { it.failedJobs.remove(job.spec.jobId) }
        job.failedOn.clear()
        val doublings = minOf(MAX_DOUBLINGS, job.consecutiveFailures / FAILURES_PER_DOUBLING)
        job.placementNotBefore = now + minOf(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS shl doublings)
    }

    private fun decommissionIfUnhealthy(machine: Machine, now: Long) {
        if (machine.decommissionReason != null || !isUnhealthy(machine, now)) return
        log.info("machine {}: unhealthy, tasks of several jobs failed there, decommissioned", machine.name)
        machine.decommissionReason = DecommissionReason.UNHEALTHY
    }

    /**
     * Whether tasks of several jobs failed on the machine since the last success there, and one of the jobs is known to
     * run elsewhere. Without the second condition, a few faulty jobs that were placed on the same machine caused it to
     * be returned to the cloud. From [MIN_FAILED_JOBS_WITHOUT_KNOWN_GOOD] jobs on, the condition is not needed.
     */
    private fun isUnhealthy(machine: Machine, now: Long): Boolean {
        val failedJobs = machine.failedJobs
        if (failedJobs.size < MIN_FAILED_JOBS_WITH_KNOWN_GOOD) return false
        return failedJobs.size >= MIN_FAILED_JOBS_WITHOUT_KNOWN_GOOD ||
            failedJobs.any { jobId -> shardState.jobs[jobId]?.let { isKnownGood(it, now) } == true }
    }

    /** Whether the job is known to run on some machine, so that it is not faulty. */
    private fun isKnownGood(job: Job, now: Long) =
        job.hasSucceeded || job.placements().any { it.running && now - it.runningSince > KNOWN_GOOD_RUN_MS }

    private companion object {
        const val FIRST_RETRY_DELAY_MS = 2_000L
        const val MAX_RETRY_DELAY_MS = 30_000L
        const val MAX_DOUBLINGS = 5
        const val FAILURES_PER_DOUBLING = 4
        const val MIN_FAILED_JOBS_WITH_KNOWN_GOOD = 2
        const val MIN_FAILED_JOBS_WITHOUT_KNOWN_GOOD = 4
        const val KNOWN_GOOD_RUN_MS = 10_000L
    }
}
