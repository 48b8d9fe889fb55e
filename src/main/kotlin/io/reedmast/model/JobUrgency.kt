package io.reedmast.model

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings

/**
 * How urgent a job is, judged by its deadline and by how long it has got no service.
 *
 * Two waiting times are distinguished. A job is *starving* by the time for which none of its tasks has had a machine
 * ([Job.unplacedSince]). It is *underserved* by the time for which none of them has run for longer than a moment
 * ([Job.underservedSince]): a job whose tasks are always preempted soon after their start is underserved, but never
 * starving. For a service, both are the time for which it has lacked replicas ([Job.waitingSince]).
 *
 * | time | starving | underserved |
 * | --- | --- | --- |
 * | 30 s | [isNearlyStarving] | |
 * | 60 s | [isStarving] | [isUnderserved] |
 * | 120 s | | [isSeverelyUnderserved] |
 */
class JobUrgency(private val settings: Settings, private val clock: Clock) {
    /** Wall time by which the job should finish; without a deadline or an objective, when it was accepted. */
    fun deadlineMs(job: Job): Long {
        val allowedS = job.spec.deadlineS ?: finishObjectiveS(job) ?: return job.acceptedAtMs
        return job.acceptedAtMs + (allowedS * MS_PER_S).toLong()
    }

    private fun finishObjectiveS(job: Job): Double? =
        settings.objectives.firstOrNull { it.kind == OBJECTIVE_FINISHED && it.jobClass == job.spec.jobClass }?.withinS

    /** Whether the deadline has passed; a job without a deadline of its own gets a grace period. */
    fun isPastDeadline(job: Job): Boolean {
        val graceMs = if (job.spec.deadlineS == null) GRACE_WITHOUT_DEADLINE_MS else 0L
        return clock.wallTime() > deadlineMs(job) + graceMs
    }

    /**
     * Whether the job has had no machine, or a service has lacked replicas, for so long that its next task is placed
     * regardless of machine prices, of capacity kept for other work, and of earlier failures on a machine. While there
     * is capacity for it somewhere, a job must not wait for 90 s.
     *
     * With a shorter time of 30 s, a swarm of small jobs took the capacity that services were meant to find.
     */
    fun isStarving(job: Job): Boolean = isNearlyStarving(job) && starvingSince(job) < clock.now() - STARVING_MS

    /** Whether to request another shard's machine already: the job may starve before one has been emptied for it. */
    fun isNearlyStarving(job: Job): Boolean =
        job.pendingCount > 0 && !isSuspectedFaulty(job) && starvingSince(job) < clock.now() - NEARLY_STARVING_MS

    /** Since when the job has had no machine, or a service has lacked replicas; in the future if neither holds. */
    fun starvingSince(job: Job): Long = when {
        job.spec.isService -> job.waitingSince
        job.placedCount == 0 -> job.unplacedSince
        else -> Long.MAX_VALUE
    }

    /**
     * Whether no task of the job has run for longer than a moment for so long that its next task takes precedence over
     * other work of its team.
     */
    fun isUnderserved(job: Job): Boolean = underservedForMs(job) > STARVING_MS

    /** As [isUnderserved], but for so long that its next task must not be preempted for any other work. */
    fun isSeverelyUnderserved(job: Job): Boolean = underservedForMs(job) > SEVERELY_UNDERSERVED_MS

    /**
     * How long none of the tasks of a waiting job has run for longer than a moment, or a service has lacked replicas; 0
     * if neither holds.
     */
    fun underservedForMs(job: Job): Long {
        if (job.pendingCount <= 0 || isSuspectedFaulty(job)) return 0L
        return when {
            job.spec.isService -> clock.now() - job.waitingSince
            job.placedCount == 0 -> clock.now() - job.underservedSince
            else -> 0L
        }
    }

    /** Whether the job has to start soon: it is a service, a gang, or of a class with a waiting time objective. */
    fun isLatencySensitive(job: Job): Boolean = job.spec.isService || job.spec.isGang ||
        settings.objectives.any { it.kind == OBJECTIVE_WAIT && it.jobClass == job.spec.jobClass }

    /** Whether the job has failed on several machines in a row: probably it is at fault, and the machines are not. */
    fun isSuspectedFaulty(job: Job): Boolean = job.consecutiveFailures >= FAILURES_OF_FAULTY_JOB

    private companion object {
        const val MS_PER_S = 1000
        const val OBJECTIVE_FINISHED = "finished"
        const val OBJECTIVE_WAIT = "wait"
        const val GRACE_WITHOUT_DEADLINE_MS = 120_000L
        const val NEARLY_STARVING_MS = 30_000L
        const val STARVING_MS = 60_000L

        /** Half of the time within which the largest jobs must start. */
        const val SEVERELY_UNDERSERVED_MS = 120_000L
        const val FAILURES_OF_FAULTY_JOB = 4
    }
}
